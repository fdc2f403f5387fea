package execute

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// takingPort collects what a caller is sent.
type takingPort struct{ sent bytes.Buffer }

func (p *takingPort) Write(b []byte) (int, error)                { return p.sent.Write(b) }
func (p *takingPort) Receive() (pgproto3.FrontendMessage, error) { return nil, errCopyBroken }

// TestRelayHoldsBackAndStreams checks that a held message is sent with the next
// one only, that it can be dropped, and that long answers aren't gathered.
func TestRelayHoldsBackAndStreams(t *testing.T) {
	port := &takingPort{}
	r := relay{port: port}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), 1000)}}
	for range 1000 {
		check(r.add(row))
	}
	if cap(r.pending) > 4*relayBytes {
		t.Errorf("%d bytes gathered", cap(r.pending))
	}
	check(r.hold(complete("FIRST")))
	check(r.send())
	if bytes.Contains(port.sent.Bytes(), []byte("FIRST")) {
		t.Error("a held message was sent")
	}
	check(r.hold(complete("SECOND")))
	r.dropHeld()
	check(r.finish(statusIdle))
	if !bytes.Contains(port.sent.Bytes(), []byte("FIRST")) || bytes.Contains(port.sent.Bytes(), []byte("SECOND")) {
		t.Error("want the first held message sent and the second dropped")
	}
}
