package execute

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/caller"
)

// responseFlushBytes is how much of a response is buffered before it is sent. A
// request can be retried on another target while its whole response is
// buffered.
const responseFlushBytes = 16 << 10

// responseWriter buffers the response to a request and sends it to the caller
// in pieces. The CommandComplete of a write can be held back until the outcome
// of its commit is known.
type responseWriter struct {
	stream caller.MessageStream
	buffer []byte
	// heldOffset is the offset in buffer of the held message, or the length of
	// buffer when none is held.
	heldOffset int
	// partlySent is set once a part of the response has been sent.
	partlySent bool
	// hasError is set while the response contains an ErrorResponse.
	hasError bool
}

// write appends a message, and sends the buffer once it is large enough. A held
// message is held no longer.
func (w *responseWriter) write(message pgproto3.BackendMessage) error {
	var err error
	if w.buffer, err = message.Encode(w.buffer); err != nil {
		return eris.Wrap(err, "encode a response message")
	}
	if _, failed := message.(*pgproto3.ErrorResponse); failed {
		w.hasError = true
	}
	w.heldOffset = len(w.buffer)
	if len(w.buffer) >= responseFlushBytes {
		return w.flush()
	}
	return nil
}

// hold appends a message that is not sent before another one is written. A
// message that was held before is held no longer.
func (w *responseWriter) hold(message pgproto3.BackendMessage) error {
	start := len(w.buffer)
	var err error
	if w.buffer, err = message.Encode(w.buffer); err != nil {
		return eris.Wrap(err, "encode a response message")
	}
	w.heldOffset = start
	return nil
}

// discardHeld drops the held message and keeps what is buffered before it.
func (w *responseWriter) discardHeld() { w.buffer = w.buffer[:w.heldOffset] }

// discard drops the buffered response. It is meant for a response of which
// nothing has been sent.
func (w *responseWriter) discard() {
	w.buffer = w.buffer[:0]
	w.heldOffset = 0
	w.hasError = false
}

// flush sends what is buffered, except for a held message.
func (w *responseWriter) flush() error {
	if w.heldOffset == 0 {
		return nil
	}
	w.partlySent = true
	_, err := w.stream.Write(w.buffer[:w.heldOffset])
	w.buffer = append(w.buffer[:0], w.buffer[w.heldOffset:]...)
	w.heldOffset = 0
	if err != nil {
		return &callerError{err}
	}
	return nil
}

// callerError reports that the caller's connection failed, or that the caller
// broke off the data of a COPY. It ends the session.
type callerError struct{ err error }

// Error describes the failure.
func (e *callerError) Error() string { return "caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.err }

// finish completes the response with ReadyForQuery and sends all that is
// buffered.
func (w *responseWriter) finish(txStatus status) error {
	if err := w.write(&pgproto3.ReadyForQuery{TxStatus: byte(txStatus)}); err != nil {
		return err
	}
	return w.flush()
}
