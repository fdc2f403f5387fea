package execute

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// recordingPort collects what a caller is sent.
type recordingPort struct{ sent bytes.Buffer }

func (p *recordingPort) Write(b []byte) (int, error)                { return p.sent.Write(b) }
func (p *recordingPort) Receive() (pgproto3.FrontendMessage, error) { return nil, errCopyInterrupted }

// TestResponseWriterHoldsAndStreams checks that a held message is sent with the next
// one only, that it can be dropped, and that long answers aren't gathered.
func TestResponseWriterHoldsAndStreams(t *testing.T) {
	port := &recordingPort{}
	w := responseWriter{port: port}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), 1000)}}
	for range 1000 {
		check(w.write(row))
	}
	if cap(w.buffer) > 4*responseFlushBytes {
		t.Errorf("%d bytes gathered", cap(w.buffer))
	}
	check(w.hold(newCommandComplete("FIRST")))
	check(w.flush())
	if bytes.Contains(port.sent.Bytes(), []byte("FIRST")) {
		t.Error("a held message was sent")
	}
	check(w.hold(newCommandComplete("SECOND")))
	w.discardHeld()
	check(w.finish(statusIdle))
	if !bytes.Contains(port.sent.Bytes(), []byte("FIRST")) || bytes.Contains(port.sent.Bytes(), []byte("SECOND")) {
		t.Error("want the first held message sent and the second dropped")
	}
}
