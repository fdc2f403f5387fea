package caller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Parts of the time of a drain, counted back from its end. A shorter time is divided in
// proportion.
const (
	// drainCommitTime is left for the commits that have begun. What else still runs then
	// is interrupted, and nothing is begun any more.
	drainCommitTime = 5 * time.Second
	// drainResponseTime is left for the responses to commits that are in doubt.
	drainResponseTime = 500 * time.Millisecond
	// maxCommitPart and maxResponsePart bound these as fractions of the whole time.
	maxCommitPart, maxResponsePart = 0.25, 0.1
)

// drainSchedule holds the times of a drain's last steps.
type drainSchedule struct {
	// terminateAt is when the sessions that are left are closed, open transactions
	// included. What they run is interrupted, except commits.
	terminateAt time.Time
	// abandonAt is when commits without a known outcome are answered as in doubt.
	abandonAt time.Time
}

// newDrainSchedule divides the time from now to the deadline.
func newDrainSchedule(now, deadline time.Time) drainSchedule {
	total := float64(deadline.Sub(now))
	part := func(limit time.Duration, fraction float64) time.Time {
		return deadline.Add(-min(limit, time.Duration(total*fraction)))
	}
	return drainSchedule{
		terminateAt: part(drainCommitTime, maxCommitPart),
		abandonAt:   part(drainResponseTime, maxResponsePart),
	}
}

// Drain closes the listeners, closes idle sessions immediately and the others at
// their next transaction boundary. Sessions that are left shortly before the context's
// deadline, if it has one, are closed with an error: their statements are interrupted and
// their transactions rolled back, except for commits, which get the remaining time and are
// then answered as in doubt. So each statement that was read whole gets a response.
// If the context is done first, Drain closes the sockets of the remaining sessions
// and returns the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.closeListeners()
	s.sessions.forEach(func(c *connection) { c.drain() })
	done := make(chan struct{})
	go func() {
		s.mu.active.Wait()
		close(done)
	}()
	if deadline, ok := ctx.Deadline(); ok && ctx.Err() == nil {
		schedule := newDrainSchedule(time.Now(), deadline)
		defer s.runAt(schedule.terminateAt, func(c *connection) { c.terminate(errDraining) }).Stop()
		defer s.runAt(schedule.abandonAt, func(c *connection) { c.handlerSession.Abandon() }).Stop()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.sessions.forEach(func(c *connection) { _ = c.conn.socket.Close() })
	return eris.Wrap(ctx.Err(), "drain caller connections")
}

// runAt calls f for each session at a time, unless the timer is stopped before.
func (s *Server) runAt(at time.Time, f func(*connection)) *time.Timer {
	return time.AfterFunc(time.Until(at), func() { s.sessions.forEach(f) })
}
