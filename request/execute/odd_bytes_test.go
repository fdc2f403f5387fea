package execute

import (
	"context"
	"encoding/binary"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// oddBytes is what callers and targets may send within a field: line ends, text that looks like
// a message, bytes that are not UTF-8. It has no white space that would split a word.
const oddBytes = "\xff\xfe\x01Q\x04'';--\"$$Z\x05I"

// TestOddBytesPassUnchanged compares what a target receives and what a caller gets with
// bytes that are written out.
func TestOddBytesPassUnchanged(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	query := "INSERT " + oddBytes + "\r\n\nQ\v\x7f\u2028\u0085"
	if got := client.query(query); got[0] != "done INSERT 0 1" || targets.insertCount(oddBytes) != 1 {
		t.Fatalf("response %v", got)
	}
	sent := binary.BigEndian.AppendUint32([]byte("Q"), uint32(len(query)+5))
	if !targets.hasReceived(string(sent) + query + "\x00") {
		t.Error("the target received another statement")
	}
	value := oddBytes + "\x00\r\n\nREADY\n"
	row := binary.BigEndian.AppendUint16(nil, 1)
	row = append(binary.BigEndian.AppendUint32(row, uint32(len(value))), value...)
	message := string(binary.BigEndian.AppendUint32([]byte("D"), uint32(len(row)+4))) + string(row)
	targets.addScript("SELECT 'x'", script{response: wireColumn + message + wireSelectOne + wireReadyIdle})
	client.send(queryMessage("SELECT 'x'"))
	client.expect("RowDescription", "row "+value, "done SELECT 1", "ready I")
}

// TestOddBytesPassUnchangedAsParameters does the same with the messages of a pipeline.
func TestOddBytesPassUnchangedAsParameters(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	value := oddBytes + "\x00\r\n\n"
	client.send(append([]pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT $1"}}, append(bindExecute("", value), &pgproto3.Sync{})...)...)
	client.expect("ParseComplete", "BindComplete", "row "+value, "done SELECT 1", "ready I")
	if !targets.hasReceived(string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value) {
		t.Error("the target received another parameter")
	}
}

// TestCopyThatStopsHalfwayIsRolledBack ends the caller's connection in the midst of copy data.
func TestCopyThatStopsHalfwayIsRolledBack(t *testing.T) {
	for name, begin := range map[string]bool{"alone": false, "in a transaction": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			client := h.connectRaw(testKey, "")
			if begin {
				client.query("BEGIN")
			}
			client.send(queryMessage("COPY kv FROM STDIN"))
			client.expect("CopyInResponse")
			client.send(&pgproto3.CopyData{Data: []byte("a\t1\n")})
			if err := client.close(); err != nil {
				t.Fatal(err)
			}
			if err := h.server.Drain(context.Background()); err != nil {
				t.Fatal(err)
			}
			if rows := h.group.Primary().Database().Rows(); len(rows) != 0 {
				t.Errorf("rows %v", rows)
			}
		})
	}
}
