package engine

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

// openTimeout bounds the opening of a connection, including the time for which the
// handshake waits in the queue of a busy target.
const openTimeout = 700 * time.Millisecond

// leasedConn is an open connection to a target and the lease under which it is
// used. release, discard or awaitLateResponse returns the lease.
type leasedConn struct {
	service    *service
	lease      *dispatch.Lease
	connection *client.Connection
	// sequence is the fence sequence of the service's record when the lease was
	// granted. It determines whether a lease on the primary is still valid.
	sequence uint64
}

// acquire leases a connection, waiting in the queue if none is free, and opens it if
// the lease has no idle one. It returns a refusal when there is none.
func (e *Engine) acquire(op *operation, r *dispatch.Request) (*leasedConn, *refusal) {
	s := op.service
	now := e.Clock()
	s.mu.Lock()
	if reason := s.waitingFor(); reason != "" && r.NeedsPrimary {
		s.mu.Unlock()
		return nil, &refusal{statement.Busy, reason}
	}
	s.dispatch.SetPrimary(now, s.usablePrimary(now))
	lease, decision := s.dispatch.Submit(now, r)
	sequence := s.recordGrant(lease)
	s.mu.Unlock()
	switch decision {
	case dispatch.NoTarget, dispatch.Overloaded:
		return nil, &refusal{statement.Busy, decision.String()}
	case dispatch.Queued:
		if lease, sequence = e.awaitLease(s, r); lease == nil {
			return nil, &refusal{statement.Busy, "no connection became free in time"}
		}
	}
	lc := &leasedConn{service: s, lease: lease, sequence: sequence}
	if lease.Conn == nil {
		return e.openConnection(op, lc)
	}
	lc.connection = lease.Conn.(*client.Connection)
	if lc.connection.Conn.Alive() {
		return lc, nil
	}
	e.discard(lc, false)
	return nil, &refusal{statement.Busy, "an idle connection was closed by its target"}
}

// recordGrant counts a lease on the primary and returns the fence sequence of the
// service's record. The lease may be nil. The caller holds the lock.
func (s *service) recordGrant(lease *dispatch.Lease) uint64 {
	if lease != nil && lease.Primary {
		s.primaryLeases++
	}
	return s.record.FenceSequence
}

// awaitLease waits until a queued request is granted or expires. It returns the
// lease, or nil, and the fence sequence of the service's record.
func (e *Engine) awaitLease(s *service, r *dispatch.Request) (*dispatch.Lease, uint64) {
	timer := time.NewTimer(r.ExpiresAt - e.Clock())
	defer timer.Stop()
	var lease *dispatch.Lease
	select {
	case lease = <-r.Granted(): // nil when the dispatcher dropped the request
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease == nil {
		lease = s.dispatch.Abandon(r)
	}
	return lease, s.recordGrant(lease)
}

// openConnection opens the connection of a lease, after closing the idle one that
// makes room for it. On failure it returns the lease.
func (e *Engine) openConnection(op *operation, lc *leasedConn) (*leasedConn, *refusal) {
	if lc.lease.Evict != nil {
		closeEvicted([]any{lc.lease.Evict})
	}
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := e.Dialer.Dial(ctx, target.Endpoint{
		Target: lc.lease.Target, Service: op.service.id, Address: lc.lease.Address, Customer: op.customer,
	})
	now := e.Clock()
	s := op.service
	if err != nil {
		s.mu.Lock()
		s.dispatch.OpenFailed(now, lc.lease, classifyOpenFailure(err))
		s.recordReturn(lc.lease)
		s.mu.Unlock()
		if IsUnreachable(err) {
			e.Reachability.ReportUnreachable(s.id, lc.lease.Target)
		}
		eventOpenFailed.Log(e.Log, "request", op.statementID, "target", lc.lease.Target, "service", s.id, "why", lc.lease.Reason, "error", err.Error())
		return nil, &refusal{statement.Busy, "connection failed: " + failureOf(err).String()}
	}
	lc.connection = client.NewConnection(conn)
	s.mu.Lock()
	s.dispatch.Opened(now, lc.lease, lc.connection)
	s.mu.Unlock()
	e.Reachability.ReportReachable(s.id, lc.lease.Target)
	return lc, nil
}

// recordReturn counts down the leases on the primary when one is returned. The
// caller holds the lock.
func (s *service) recordReturn(lease *dispatch.Lease) {
	if lease.Primary {
		s.primaryLeases--
	}
}

// release returns the lease and keeps the connection open for further use, if it is reusable.
func (e *Engine) release(lc *leasedConn) {
	if !lc.connection.Conn.Reusable() {
		e.discard(lc, false)
		return
	}
	now := e.Clock()
	s := lc.service
	s.mu.Lock()
	s.dispatch.EndStatement(now, lc.lease)
	s.dispatch.Release(now, lc.lease)
	s.recordReturn(lc.lease)
	evicted := s.dispatch.TakeEvicted()
	s.mu.Unlock()
	closeEvicted(evicted)
}

// discardFailed closes a connection after an error. It reports a target that stopped
// responding as unreachable immediately, without waiting for a new connection to fail.
func (e *Engine) discardFailed(lc *leasedConn, err error) {
	e.discard(lc, connectionBroke(err))
	if failureOf(err) == target.Unacknowledged {
		e.Reachability.ReportUnreachable(lc.service.id, lc.lease.Target)
	}
}

// discard returns the lease and closes the connection, so that the target rolls back
// a transaction that is open on it. Broken says that the connection itself failed.
func (e *Engine) discard(lc *leasedConn, broken bool) {
	_ = lc.connection.Conn.Close() // the connection is not used again, whether or not this fails
	now := e.Clock()
	s := lc.service
	s.mu.Lock()
	s.dispatch.Drop(now, lc.lease, broken)
	s.recordReturn(lc.lease)
	s.mu.Unlock()
}

// lateResponseTimeout is how long a response is still awaited after its caller's
// timeout, so that the connection can be used again.
const lateResponseTimeout = 5 * time.Second

// awaitLateResponse waits in the background for a late response. The connection is
// kept if the response arrives, with the signature that a copy of one to a session value lacks,
// and leaves no transaction open, and closed otherwise.
func (e *Engine) awaitLateResponse(lc *leasedConn) {
	lc.service.mu.Lock()
	lc.service.dispatch.AbandonStatement(e.Clock(), lc.lease)
	lc.service.mu.Unlock()
	go func() {
		response, err := lc.connection.Conn.ResumeRead(lateResponseTimeout)
		if err != nil || response.State != statement.Idle || response.Signature == "" {
			e.discard(lc, err != nil && connectionBroke(err))
			return
		}
		e.release(lc)
	}()
}

// mayUseTarget reports whether the connection's target may be used. Only primaries
// need authority.
func (e *Engine) mayUseTarget(lc *leasedConn) bool {
	return !lc.lease.Primary || lc.service.mayUsePrimary(e.Clock(), lc.lease.Target, lc.sequence)
}

// syncSessionState sets the target session's settings to the caller's and prepares
// the statement that st executes, where they differ. The transaction state is the one that the
// target's session is in, and stays in.
func (e *Engine) syncSessionState(lc *leasedConn, s *client.Session, st statement.Statement, state statement.TransactionState, timeout time.Duration) error {
	steps := lc.connection.SyncStatements(s, st)
	if len(steps) == 0 {
		return nil
	}
	responses, err := lc.connection.Conn.Pipeline(steps, timeout)
	if err != nil {
		return err
	}
	for _, response := range responses {
		if response.Code != statement.OK {
			return &target.Error{Step: "align session", Peer: lc.lease.Target, Failure: target.SessionRefused, Code: response.Code, Err: errors.New(response.Detail)}
		}
		if response.State != state {
			return &target.Error{Step: "align session", Peer: lc.lease.Target, Failure: target.InvalidResponse, Err: errors.New("the response is in another transaction state")}
		}
	}
	lc.connection.RecordSynced(steps)
	return nil
}

func failureOf(err error) target.Failure {
	var targetErr *target.Error
	if errors.As(err, &targetErr) {
		return targetErr.Failure
	}
	return target.ConnectionBroken
}

// connectionBroke reports whether an error of an exchange shows that the connection or the path to
// the target failed, rather than that a response cannot be trusted or was not awaited.
func connectionBroke(err error) bool {
	switch failureOf(err) {
	case target.SessionRefused, target.InvalidResponse, target.Unusable, target.InvalidStatement:
		return false
	default:
		return true
	}
}

// classifyOpenFailure converts an error of opening a connection to the dispatcher's
// classes of failures.
func classifyOpenFailure(err error) dispatch.OpenFailure {
	var targetErr *target.Error
	switch {
	case !errors.As(err, &targetErr) || targetErr.Failure != target.SessionRefused:
		return dispatch.OpenUnreachable
	case targetErr.Code == statement.ConnectionLimit:
		return dispatch.OpenAtLimit
	default:
		return dispatch.OpenRefused
	}
}

// mayHaveBeenSent reports whether the target may have received the statement whose
// exchange failed with err.
func mayHaveBeenSent(err error) bool {
	var targetErr *target.Error
	return !errors.As(err, &targetErr) || targetErr.MaybeSent
}

// IsUnreachable reports whether err, from opening a connection, shows that the target
// cannot be reached, rather than that it is busy or refuses the connection.
func IsUnreachable(err error) bool {
	if err == nil {
		return false
	}
	var targetErr *target.Error
	if !errors.As(err, &targetErr) {
		return true
	}
	return targetErr.Failure == target.Unacknowledged || targetErr.Failure == target.ConnectionBroken || targetErr.Failure == target.ResponseTimeout && targetErr.Step == "connect"
}

// recordPosition records the log position in a response to a statement that was sent
// at sentAt. A replica's position shows what it has replayed; the primary's is
// evidence of the log at sentAt, as long as the primary may still be used.
func (e *Engine) recordPosition(lc *leasedConn, sentAt time.Duration, point topology.Point) {
	if point == (topology.Point{}) {
		return
	}
	now := e.Clock()
	s := lc.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !lc.lease.Primary {
		s.dispatch.ObservePosition(now, lc.lease, point)
		return
	}
	if s.usablePrimary(now) == lc.lease.Target && s.record.FenceSequence == lc.sequence {
		s.dispatch.Floors.Observe(sentAt, point)
	}
}
