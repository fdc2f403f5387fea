package upstream

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// bytesConn delivers given bytes and takes any.
type bytesConn struct {
	net.Conn
	reader *bytes.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)  { return c.reader.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *bytesConn) Close() error                { return nil }
func (c *bytesConn) SetDeadline(time.Time) error { return nil }

// FuzzTarget takes any bytes for the login and the answer of a target. The
// connection is reusable only after a ReadyForQuery for its request.
func FuzzTarget(f *testing.F) {
	whole := greeting(f)
	answer, _ := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(whole)
	answer, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(answer)
	f.Add(answer)
	f.Add(whole)
	f.Add([]byte("R\x00\x00\x00\x17\x00\x00\x00\x0aSCRAM-SHA-256\x00\x00"))
	f.Add([]byte("R\x00\x00\x00\x08\x00\x00\x00\x0b"))
	f.Fuzz(func(t *testing.T, input []byte) {
		conn, err := login(t.Context(), Config{Target: "t"}, &bytesConn{reader: bytes.NewReader(input)})
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
			ready = isReady(message)
		}
		if conn.Reusable() && !ready {
			t.Error("reusable without an answer")
		}
	})
}
