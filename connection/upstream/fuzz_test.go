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
