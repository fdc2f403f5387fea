package upstream

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// bytesConn is a connection whose reads return the given bytes and whose writes
// are discarded.
type bytesConn struct {
	net.Conn
	reader *bytes.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)  { return c.reader.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *bytesConn) Close() error                { return nil }
func (c *bytesConn) SetDeadline(time.Time) error { return nil }

// FuzzTarget reads arbitrary bytes as a target's login messages and response. The
// connection must be reusable only after the ReadyForQuery of its request.
func FuzzTarget(f *testing.F) {
	loginBytes := loginResponse(f)
	loginAndResponse, _ := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(loginBytes)
	loginAndResponse, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(loginAndResponse)
	f.Add(loginAndResponse)
	f.Add(loginBytes)
	f.Add([]byte("R\x00\x00\x00\x17\x00\x00\x00\x0aSCRAM-SHA-256\x00\x00"))
	f.Add([]byte("R\x00\x00\x00\x08\x00\x00\x00\x0b"))
	f.Fuzz(func(t *testing.T, input []byte) {
		conn, err := logIn(t.Context(), Config{Target: "t"}, &bytesConn{reader: bytes.NewReader(input)})
		if err != nil {
			return
		}
		conn.Send(&pgproto3.Query{String: "SELECT 1"})
		ready := false
		for !ready {
			message, err := conn.Receive()
			if err != nil {
				break
			}
			_, ready = message.(*pgproto3.ReadyForQuery)
		}
		if conn.Reusable() && !ready {
			t.Error("reusable without ReadyForQuery")
		}
	})
}

// FuzzResponses reads arbitrary bytes as the responses to a Query and to a pipeline. The
// connection must be reusable only after both, and never again after an error.
func FuzzResponses(f *testing.F) {
	responses := parseComplete + bindComplete + rowX + done + readyIdle
	f.Add([]byte(rowDescription + rowX + done + readyIdle + responses))
	f.Add([]byte(errorBusy + readyIdle + parseComplete + errorBusy + readyIdle))
	f.Add([]byte(copyOut + copyData + copyDone + done + readyIdle + timeZone + responses))
	f.Add([]byte(done + readyIdle + readyIdle + responses + notice))
	f.Fuzz(func(t *testing.T, input []byte) {
		socket := &bytesConn{reader: bytes.NewReader(append([]byte(loginOK), input...))}
		conn, err := logIn(t.Context(), Config{Target: "t"}, socket)
		if err != nil {
			t.Fatal(err)
		}
		for _, request := range append(oneQuery, pipeline...) {
			conn.Send(request)
		}
		ready := 0
		for err == nil {
			var message pgproto3.BackendMessage
			message, err = conn.Receive()
			if _, isReady := message.(*pgproto3.ReadyForQuery); isReady {
				ready++
			}
			if ready > 2 {
				t.Fatal("more responses than requests")
			}
			if err == nil && conn.Reusable() && ready != 2 {
				t.Fatalf("reusable after %d responses", ready)
			}
		}
		if conn.Reusable() {
			t.Error("reusable after an error")
		}
	})
}
