package caller

import (
	"cmp"
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
	// deadline is when the sockets of the sessions that are left are closed, but not before
	// responseTime after the previous step.
	deadline     time.Time
	responseTime time.Duration
}

// newDrainSchedule divides the time from now to the deadline.
func newDrainSchedule(now, deadline time.Time) drainSchedule {
	total := float64(deadline.Sub(now))
	part := func(limit time.Duration, fraction float64) time.Duration {
		return min(limit, time.Duration(total*fraction))
	}
	responseTime := part(drainResponseTime, maxResponsePart)
	return drainSchedule{
		terminateAt:  deadline.Add(-part(drainCommitTime, maxCommitPart)),
		abandonAt:    deadline.Add(-responseTime),
		deadline:     deadline,
		responseTime: responseTime,
	}
}

// Drain closes the listeners, closes idle sessions immediately and the others at
// their next transaction boundary. Sessions that are left shortly before the context's
// deadline, if it has one, are closed with an error: their statements are interrupted and
// their transactions rolled back, except for commits, which get the remaining time and are
// then answered as in doubt. So each statement that was read whole gets a response.
// If the context is done first, as after a suspension of the process, these steps are taken at
// once, and the responses get their time all the same. Then, or at once if the context has no
// deadline or is done from the start, Drain closes the sockets of the remaining sessions and
// returns the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.closeListeners()
	s.sessions.forEach(func(c *connection) { c.drain() })
	done := make(chan struct{})
	go func() {
		s.mu.active.Wait()
		close(done)
	}()
	if deadline, ok := ctx.Deadline(); ok && ctx.Err() == nil {
		if s.endSessions(ctx, done, newDrainSchedule(time.Now(), deadline)) {
			return nil
		}
	} else if closedBefore(done, ctx.Done(), nil) {
		return nil
	}
	s.sessions.forEach(func(c *connection) { _ = c.conn.socket.Close() })
	return eris.Wrap(cmp.Or(ctx.Err(), context.DeadlineExceeded), "drain caller connections")
}

// endSessions takes the last steps of a drain, in their order however late they come. It reports
// whether all sessions have ended.
func (s *Server) endSessions(ctx context.Context, done <-chan struct{}, schedule drainSchedule) bool {
	if closedBefore(done, ctx.Done(), time.After(time.Until(schedule.terminateAt))) {
		return true
	}
	s.sessions.forEach(func(c *connection) { c.terminate(errDraining) })
	if closedBefore(done, ctx.Done(), time.After(time.Until(schedule.abandonAt))) {
		return true
	}
	s.sessions.forEach(func(c *connection) { c.handlerSession.Abandon() })
	return closedBefore(done, nil, time.After(max(schedule.responseTime, time.Until(schedule.deadline))))
}

// closedBefore waits for the first of three channels and reports whether it was done.
func closedBefore(done, canceled <-chan struct{}, elapsed <-chan time.Time) bool {
	select {
	case <-done:
		return true
	case <-canceled:
	case <-elapsed:
	}
	return false
}
