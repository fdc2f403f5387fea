package relay

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/topology"
)

// decodeMode decodes messages. Their strings are the bytes that callers and targets sent, which
// need not be UTF-8. CBOR delimits a string by its length, so that no byte of it has a meaning.
// Besides, it accepts only what an instance sends: no field twice, no tag and no item in parts.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8:        cbor.UTF8DecodeInvalid,
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // only invalid options cause an error
	}
	return mode
}

// decode decodes a message of a peer and checks that its numbers have a meaning.
func decode(payload []byte) (*message, error) {
	m := &message{}
	if err := decodeMode.Unmarshal(payload, m); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	if err := m.validate(); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	return m, nil
}

// send sends a message, or logs why it cannot be encoded.
func (r *Relay) send(to topology.InstanceID, m *message) {
	if err := r.trySend(to, m); err != nil {
		eventNotSent.LogError(r.Log, err, "peer", to)
	}
}

// trySend sends a message, or returns peer.ErrTooLarge.
func (r *Relay) trySend(to topology.InstanceID, m *message) error {
	payload, err := peer.EncodePayload(m)
	if err != nil {
		return err
	}
	r.Link.Send(to, peer.KindRelay, payload)
	return nil
}

// validate checks that a message has one meaning. One without any may be of a later version.
func (m *message) validate() error {
	contents := 0
	for _, present := range [...]bool{
		m.Request != nil, m.Response != nil, m.Abort != nil, m.Ping != 0, m.Pong != 0, len(m.Demand) > 0 || m.ReportSentAt > 0,
		m.ConfigurationRequest != nil, m.ConfigurationResponse != nil, m.LoanRequest != nil, m.LoanResponse != nil,
		m.FollowRequest != nil, m.FollowResponse != nil,
	} {
		if present {
			contents++
		}
	}
	switch {
	case contents > 1:
		return eris.Errorf("%d messages in one", contents)
	case m.Request != nil:
		return m.Request.validate()
	case m.Response != nil:
		return m.Response.validate()
	case m.FollowResponse != nil:
		return checkAges(m.FollowResponse.ConfirmationAge)
	case m.Grant != nil:
		return checkNumbers(m.Demand, m.Excess, m.Grant.Fractions)
	}
	return checkNumbers(m.Demand, m.Excess)
}

// checkNumbers returns an error if a customer's value is infinite or no number.
func checkNumbers(reports ...map[topology.CustomerID]float64) error {
	for _, report := range reports {
		for customer, value := range report {
			if math.IsNaN(value) || math.IsInf(value, 0) {
				return eris.Errorf("customer %.200q has %v", customer, value)
			}
		}
	}
	return nil
}

func (r *forwardRequest) validate() error {
	switch {
	case !r.Statement.Kind.Exists():
		return eris.Errorf("request %d: unknown kind %d", r.ID, uint8(r.Statement.Kind))
	case r.Begin > beginReadOnly:
		return eris.Errorf("request %d: unknown mode of begin %d", r.ID, r.Begin)
	}
	return eris.Wrapf(checkAges(r.FloorAge), "request %d", r.ID)
}

func (r *forwardResponse) validate() error {
	refused := r.Declined || r.NoPrimary
	switch {
	case !r.Result.Code.Exists():
		return eris.Errorf("response %d: unknown code %d", r.ID, uint8(r.Result.Code))
	case !r.Result.State.Exists() && !(refused && r.Result.State == 0):
		return eris.Errorf("response %d: unknown state %d", r.ID, r.Result.State)
	}
	return eris.Wrapf(checkAges(r.FloorAge, r.ConfirmationAge), "response %d", r.ID)
}

// checkAges returns an error if an age would date an event in the future.
func checkAges(ages ...time.Duration) error {
	if age := slices.Min(ages); age < 0 {
		return eris.Errorf("negative age %s", age)
	}
	return nil
}
