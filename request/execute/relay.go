package execute

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/caller"
)

// relayBytes is how much of an answer is gathered before it is sent on. A
// request whose answer is still gathered whole can be moved to another target.
const relayBytes = 16 << 10

// relay gathers the answer to a request and sends it to the caller in pieces.
type relay struct {
	port    caller.Port
	pending []byte
	// held is where the messages begin that wait for the outcome of a commit.
	held int
	// forwarded is set once the caller has been sent a part of the answer.
	forwarded bool
	// erred is set while the answer has an error.
	erred bool
}

// add appends a message and sends what has gathered.
func (r *relay) add(message pgproto3.BackendMessage) error {
	var err error
	if r.pending, err = message.Encode(r.pending); err != nil {
		return eris.Wrap(err, "encode the answer")
	}
	if _, failed := message.(*pgproto3.ErrorResponse); failed {
		r.erred = true
	}
	r.held = len(r.pending)
	if len(r.pending) >= relayBytes {
		return r.send()
	}
	return nil
}

// hold appends a message that is not sent before the next one or release.
func (r *relay) hold(message pgproto3.BackendMessage) error {
	start := len(r.pending)
	var err error
	if r.pending, err = message.Encode(r.pending); err != nil {
		return eris.Wrap(err, "encode the answer")
	}
	r.held = start
	return nil
}

// dropHeld forgets the messages that wait for the outcome of a commit.
func (r *relay) dropHeld() { r.pending = r.pending[:r.held] }

// discard forgets the answer, when nothing of it has been sent.
func (r *relay) discard() {
	r.pending = r.pending[:0]
	r.held = 0
	r.erred = false
}

// send sends what has gathered, but not what is held.
func (r *relay) send() error {
	if r.held == 0 {
		return nil
	}
	r.forwarded = true
	_, err := r.port.Write(r.pending[:r.held])
	r.pending = append(r.pending[:0], r.pending[r.held:]...)
	r.held = 0
	if err != nil {
		return &callerError{err}
	}
	return nil
}

// callerError reports that the caller's connection failed or that the caller
// broke off its request. The session ends.
type callerError struct{ err error }

// Error describes the failure.
func (e *callerError) Error() string { return "caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.err }

// finish ends the answer with ReadyForQuery and sends all of it.
func (r *relay) finish(s status) error {
	if err := r.add(&pgproto3.ReadyForQuery{TxStatus: byte(s)}); err != nil {
		return err
	}
	return r.send()
}
