package perform

import (
	"context"
	"errors"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
)

// dialTimeout bounds the opening of a connection: the handshake waits for a slot
// behind a full queue of the target.
const dialTimeout = 700 * time.Millisecond

// held is a leased, open connection.
type held struct {
	service *service
	lease   *dispatch.Lease
	link    *client.Link
	// sequence is that of the record under which a lease on the primary was
	// granted.
	sequence uint64
}

// acquire leases a connection and opens it if need be. It reports why there is
// none.
func (e *Engine) acquire(op *operation, r *dispatch.Request) (*held, *refusal) {
	s := op.service
	now := e.Clock()
	s.mu.Lock()
	s.dispatch.SetPrimary(now, s.usable(now))
	lease, verdict := s.dispatch.Submit(now, r)
	sequence := s.granted(lease)
	s.mu.Unlock()
	switch verdict {
	case dispatch.NoTarget, dispatch.Overloaded:
		return nil, &refusal{statement.Busy, verdict.String()}
	case dispatch.Queued:
		if lease, sequence = e.await(s, r); lease == nil {
			return nil, &refusal{statement.Busy, "no connection became free in time"}
		}
	}
	h := &held{service: s, lease: lease, sequence: sequence}
	if lease.Conn == nil {
		return e.open(op, h)
	}
	h.link = lease.Conn.(*client.Link)
	if h.link.Conn.Alive() {
		return h, nil
	}
	e.drop(h, false)
	return nil, &refusal{statement.Busy, "an idle connection was closed by its target"}
}

// granted counts a lease on the primary and returns the record's sequence. The
// caller holds the lock.
func (s *service) granted(lease *dispatch.Lease) uint64 {
	if lease != nil && lease.Primary {
		s.onPrimary++
	}
	return s.record.Sequence
}

// await waits for a queued request's lease.
func (e *Engine) await(s *service, r *dispatch.Request) (*dispatch.Lease, uint64) {
	timer := time.NewTimer(r.Expires - e.Clock())
	defer timer.Stop()
	var lease *dispatch.Lease
	select {
	case lease = <-r.Granted(): // nil when the request was given up
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease == nil {
		lease = s.dispatch.Abandon(r)
	}
	return lease, s.granted(lease)
}

// open opens the connection of a lease.
func (e *Engine) open(op *operation, h *held) (*held, *refusal) {
	if h.lease.Evict != nil {
		closeLinks([]any{h.lease.Evict})
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := e.Dialer.Dial(ctx, target.Endpoint{
		Target: h.lease.Target, Service: op.service.id, Address: h.lease.Address, Customer: op.customer,
	})
	now := e.Clock()
	s := op.service
	if err != nil {
		s.mu.Lock()
		s.dispatch.OpenFailed(now, h.lease, openFailureOf(err))
		s.left(h.lease)
		s.mu.Unlock()
		if Unreachable(err) {
			e.Reachability.Unreachable(s.id, h.lease.Target)
		}
		eventUnopened.Log(e.Log, "request", op.statement, "target", h.lease.Target, "service", s.id, "why", h.lease.Why, "error", err.Error())
		return nil, &refusal{statement.Busy, "connection failed: " + failureOf(err).String()}
	}
	h.link = client.NewLink(conn)
	s.mu.Lock()
	s.dispatch.Opened(now, h.lease, h.link)
	s.mu.Unlock()
	e.Reachability.Reached(s.id, h.lease.Target)
	return h, nil
}

// left uncounts a lease on the primary. The caller holds the lock.
func (s *service) left(lease *dispatch.Lease) {
	if lease.Primary {
		s.onPrimary--
	}
}

// release gives the connection back.
func (e *Engine) release(h *held) {
	now := e.Clock()
	s := h.service
	s.mu.Lock()
	s.dispatch.End(now, h.lease)
	s.dispatch.Release(now, h.lease)
	s.left(h.lease)
	evicted := s.dispatch.TakeEvicted()
	s.mu.Unlock()
	closeLinks(evicted)
}

// dropFailed closes a connection after an error. A target that went silent cannot be
// reached, which a new connection would only show later.
func (e *Engine) dropFailed(h *held, err error) {
	e.drop(h, true)
	if failureOf(err) == target.Silent {
		e.Reachability.Unreachable(h.service.id, h.lease.Target)
	}
}

// drop closes the connection, so that the target rolls back what is open on it.
func (e *Engine) drop(h *held, broken bool) {
	_ = h.link.Conn.Close() // it is given up either way
	now := e.Clock()
	s := h.service
	s.mu.Lock()
	s.dispatch.Drop(now, h.lease, broken)
	s.left(h.lease)
	s.mu.Unlock()
}

// lateAnswerLimit is how long an answer that came too late for its caller is
// still awaited to save the connection.
const lateAnswerLimit = 5 * time.Second

// salvage waits for a late answer in the background and keeps the connection if
// it comes and leaves no transaction open.
func (e *Engine) salvage(h *held) {
	go func() {
		answer, err := h.link.Conn.Resume(lateAnswerLimit)
		if err != nil || answer.State != statement.Idle {
			e.drop(h, err != nil)
			return
		}
		e.release(h)
	}()
}

// mayUse reports whether the connection's target may be used, which only a
// primary's right can rule out.
func (e *Engine) mayUse(h *held) bool {
	return !h.lease.Primary || h.service.mayUse(e.Clock(), h.lease.Target, h.sequence)
}

// align brings the target's session state in line with the caller's.
func (e *Engine) align(h *held, s *client.Session, st statement.Statement, timeout time.Duration) error {
	steps := h.link.Align(s, st)
	if len(steps) == 0 {
		return nil
	}
	answers, err := h.link.Conn.Pipeline(steps, timeout)
	if err != nil {
		return err
	}
	for _, answer := range answers {
		if answer.Code != statement.OK {
			return &target.Error{Step: "align session", Peer: h.lease.Target, Failure: target.Refused, Code: answer.Code, Err: errors.New(answer.Detail)}
		}
	}
	h.link.Aligned(steps)
	return nil
}

func failureOf(err error) target.Failure {
	var failed *target.Error
	if errors.As(err, &failed) {
		return failed.Failure
	}
	return target.Broken
}

// openFailureOf says why a connection could not be opened.
func openFailureOf(err error) dispatch.OpenFailure {
	var failed *target.Error
	switch {
	case !errors.As(err, &failed) || failed.Failure != target.Refused:
		return dispatch.Unreached
	case failed.Code == statement.ConnectionLimit:
		return dispatch.Full
	default:
		return dispatch.Refused
	}
}

// sentBefore reports whether the target may have received a statement whose
// sending or answer failed.
func sentBefore(err error) bool {
	var failed *target.Error
	return !errors.As(err, &failed) || failed.Sent
}

// Unreachable reports whether an error of opening a connection says that the
// target cannot be reached, rather than that it is busy.
func Unreachable(err error) bool {
	if err == nil {
		return false
	}
	var failed *target.Error
	if !errors.As(err, &failed) {
		return true
	}
	return failed.Failure == target.Silent || failed.Failure == target.Broken || failed.Failure == target.Late && failed.Step == "connect"
}

// observe takes the position that an answer tells. Sent is when the request was
// sent.
func (e *Engine) observe(h *held, sent time.Duration, point topology.Point) {
	if point == (topology.Point{}) {
		return
	}
	now := e.Clock()
	s := h.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.lease.Primary {
		s.dispatch.Position(now, h.lease, point)
		return
	}
	if s.usable(now) == h.lease.Target && s.record.Sequence == h.sequence {
		s.dispatch.Floors.Observe(sent, point)
	}
}
