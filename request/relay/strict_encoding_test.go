package relay

import (
	"math"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// A message that names a field twice has two meanings, of which the decoder took one.
func TestMessageThatIsNotStrictIsRejected(t *testing.T) {
	for name, payload := range map[string]string{
		"duplicate field":             "\xa1\x01\xa2\x01\x01\x01\x02",
		"duplicate session value":     "\xa1\x01\xa1\x08\xa2\x61k\x61a\x61k\x61b",
		"request twice":               "\xa2\x01\xa1\x01\x01\x01\xa1\x01\x02",
		"indefinite length":           "\xbf\x04\x01\xff",
		"text in parts":               "\xa1\x01\xa1\x06\x7f\x61a\x61b\xff",
		"tag":                         "\xc1\xa1\x04\x01",
		"trailing byte":               "\xa1\x04\x01\x00",
		"cut off":                     "\xa1\x01\xa1\x01",
		"empty":                       "",
		"request and response":        "\xa2\x01\xa1\x01\x01\x02\xa2\x01\x01\x03\xf5",
		"number beyond its type":      "\xa1\x01\xa1\x0c\xa1\x01\x19\x01\x00",
		"negative ID":                 "\xa1\x01\xa1\x01\x20",
		"text in place of an ID":      "\xa1\x01\xa1\x01\x61a",
		"a list in place of a struct": "\xa1\x01\x81\x01",
	} {
		if m, err := decode([]byte(payload)); err == nil {
			t.Errorf("%s: decoded as %+v", name, m)
		}
	}
	if _, err := decode([]byte("\xa2\x04\x01\x18\x63\xa1\x01\x02")); err != nil {
		t.Errorf("a field of a later version: %v", err)
	}
}

// An age before zero would date a floor or a confirmation in the future.
func TestNegativeAgeIsRejected(t *testing.T) {
	result := statement.Response{State: statement.Idle}
	for name, m := range map[string]*message{
		"floor of a request":           {Request: &forwardRequest{FloorAge: -time.Second}},
		"floor of a response":          {Response: &forwardResponse{Result: result, FloorAge: -time.Second}},
		"confirmation with a response": {Response: &forwardResponse{Result: result, ConfirmedVersion: 1, ConfirmationAge: -time.Second}},
		"confirmation for a follower":  {FollowResponse: &followResponse{ConfirmedVersion: 1, ConfirmationAge: -time.Second}},
	} {
		if _, err := decode(encode(m)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := decode(encode(&message{ConfigurationResponse: &configurationResponse{ConfirmationAge: -1}})); err != nil {
		t.Errorf("a configuration without a confirmation: %v", err)
	}
}

// A demand that is no number made the shares of all customers' rates no number.
func TestReportOfDemandWithoutNumbersIsRejected(t *testing.T) {
	for _, number := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		numbers := map[topology.CustomerID]float64{"k": 1, "l": number}
		for _, m := range []*message{{Demand: numbers}, {ReportSentAt: 1, Excess: numbers}, {ReportSentAt: 1, Grant: &share.Grant{Fractions: numbers}}} {
			if _, err := decode(encode(m)); err == nil {
				t.Errorf("accepted %+v", m)
			}
		}
	}
}
