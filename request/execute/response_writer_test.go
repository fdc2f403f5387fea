package execute

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// recordingStream records what is sent to the caller.
type recordingStream struct{ sent bytes.Buffer }

func (p *recordingStream) Write(b []byte) (int, error)                { return p.sent.Write(b) }
func (p *recordingStream) Receive() (pgproto3.FrontendMessage, error) { return nil, errCopyInterrupted }

// TestResponseWriterHoldsAndStreams checks that a held message is sent only
// with the next one, that it can be dropped, and that large responses are not
// buffered whole.
func TestResponseWriterHoldsAndStreams(t *testing.T) {
	stream := &recordingStream{}
	w := responseWriter{stream: stream}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), 1000)}}
	for range 1000 {
		must(w.write(row))
	}
	if cap(w.buffer) > 4*responseFlushBytes {
		t.Errorf("buffer grew to %d bytes", cap(w.buffer))
	}
	must(w.hold(newCommandComplete("FIRST")))
	must(w.flush())
	if bytes.Contains(stream.sent.Bytes(), []byte("FIRST")) {
		t.Error("a held message was sent")
	}
	must(w.hold(newCommandComplete("SECOND")))
	w.discardHeld()
	must(w.finish(statusIdle))
	if !bytes.Contains(stream.sent.Bytes(), []byte("FIRST")) || bytes.Contains(stream.sent.Bytes(), []byte("SECOND")) {
		t.Error("want the first held message sent and the second dropped")
	}
}
