package relay

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// wireMessages are messages and their bytes as instances of earlier versions send and read them.
var wireMessages = map[string]struct {
	message *message
	bytes   string
}{
	"request": {&message{Request: &forwardRequest{ID: 7, Session: sessionID{Incarnation: 3, Number: 2, Transaction: 9}, Begin: beginReadWrite, ConfigVersion: 5,
		Database: "d", Key: "k", Values: map[string]string{"n": "v"}, Prepared: &client.PreparedStatement{Writes: true, Shape: "q"}, Floor: topology.Point{Term: 1, Position: 2},
		FloorAge: time.Second, Statement: statement.Statement{Kind: statement.Execute, ID: "i", Text: "EXECUTE p 1\n", Name: "p", Argument: "1\n"}, DeclineUnlessOwner: true}},
		"\xa1\x01\xac\x01\a\x02\xa3\x01\x03\x02\x02\x03\t\x04\x01\x05\x05\x06ad\aak\b\xa1anav\t\xa2\x01\xf5\x02aq\n\xa2\x01\x01\x02\x02\v\x1a;\x9a\xca\x00\f\xa6\x01\t\x02ai\x03lEXECUTE p 1\n\x04ap\x05b1\n\b\xa2\x01\x00\x02\x00\r\xf5"},
	"response": {&message{Response: &forwardResponse{ID: 7, Result: statement.Response{Rows: []string{"é\n", ""}, Signature: "s", State: statement.Open, LogEnd: topology.Point{Term: 1, Position: 3}},
		Placement: placement{Target: "t", Primary: true, Attempts: 1, Service: "s", Customer: "c"}, Floor: topology.Point{Term: 1, Position: 3}, ConfigVersion: 5, ConfirmedVersion: 5, ConfirmationAge: time.Millisecond}},
		"\xa1\x02\xa7\x01\a\x02\xa4\x01\x82cé\n`\x02as\x05\x02\x06\xa2\x01\x01\x02\x03\x04\xa5\x01at\x02\xf5\x04\x01\aas\bac\x05\xa2\x01\x01\x02\x03\a\x05\f\x05\t\x1a\x00\x0fB@"},
	"declined": {&message{Response: &forwardResponse{ID: 7, Declined: true, NotOwner: true}}, "\xa1\x02\xa6\x01\a\x02\xa1\x06\xa2\x01\x00\x02\x00\x03\xf5\v\xf5\x04\xa0\x05\xa2\x01\x00\x02\x00"},
	"abort":    {&message{Abort: &sessionID{Incarnation: 3, Number: 2, Transaction: 9}}, "\xa1\x03\xa3\x01\x03\x02\x02\x03\t"},
}

// During an upgrade instances of two versions forward to each other.
func TestMessagesKeepTheirBytes(t *testing.T) {
	for name, m := range wireMessages {
		if got := encode(m.message); !bytes.Equal(got, []byte(m.bytes)) {
			t.Errorf("%s is encoded as %q", name, got)
		}
		if got, err := decode([]byte(m.bytes)); err != nil || !reflect.DeepEqual(got, m.message) {
			t.Errorf("%s is decoded as %+v: %v", name, got, err)
		}
	}
}
