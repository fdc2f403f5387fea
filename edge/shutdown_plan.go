package edge

import "time"

// Parts of the grace period of a shutdown. Of a short grace period, each is at most the
// given share.
const (
	// readinessDelay is how long callers may still connect after the instance has become
	// unready: until the load balancer has probed it twice, a second apart, and a margin.
	readinessDelay      = 2300 * time.Millisecond
	readinessDelayShare = 0.4
	// closeSpread is the time over which the closing of idle connections is spread, so
	// that their callers do not all reconnect to other instances at the same time.
	closeSpread      = 1200 * time.Millisecond
	closeSpreadShare = 0.2
	// exitMargin is reserved at the end of the grace period: for writing the responses to
	// what is still running, for unregistering, and for the process to exit.
	exitMargin      = 500 * time.Millisecond
	exitMarginShare = 0.1
	// writeShare and unregisterShare are the shares of the exit margin by whose end the responses
	// are written and the registration is removed.
	writeShare      = 0.3
	unregisterShare = 0.8
	// transactionShare is the share of the grace period in which every statement of an open
	// transaction is run.
	transactionShare = 0.5
)

const (
	// forwardMargin is how much longer than its timeout a statement may take: it waits for a
	// link to an owner, and for the owner's response.
	forwardMargin = 400 * time.Millisecond
	// drainPollInterval is the interval between checks whether a shutdown has to wait.
	drainPollInterval = 20 * time.Millisecond
)

// shutdownPlan is the schedule of a planned stop. A process that has been told to stop is
// killed at the end of a grace period, whatever it is doing. So that no statement is cut
// off, one is run only if its timeout ends before the process does. What is not complete by then
// all the same, such as a read that was sent to several owners, is responded to before the end.
type shutdownPlan struct {
	startedAt time.Time
	// idleCloseStart and idleCloseEnd are the span in which idle connections are closed.
	idleCloseStart, idleCloseEnd time.Time
	// transactionEnd is until when every statement is run, whatever its timeout.
	transactionEnd time.Time
	// responseEnd is when statements that are not complete are responded to, writeEnd until
	// when these responses may take, and unregisterEnd until when the registration is removed.
	responseEnd, writeEnd, unregisterEnd time.Time
}

// newShutdownPlan returns the schedule of a shutdown that starts now.
func newShutdownPlan(now time.Time, grace time.Duration) shutdownPlan {
	share := func(part float64) time.Duration { return time.Duration(part * float64(grace)) }
	p := shutdownPlan{startedAt: now, transactionEnd: now.Add(share(transactionShare))}
	p.idleCloseStart = now.Add(min(readinessDelay, share(readinessDelayShare)))
	p.idleCloseEnd = p.idleCloseStart.Add(min(closeSpread, share(closeSpreadShare)))
	margin := min(exitMargin, share(exitMarginShare))
	p.responseEnd = now.Add(grace - margin)
	p.writeEnd = p.responseEnd.Add(time.Duration(writeShare * float64(margin)))
	p.unregisterEnd = p.responseEnd.Add(time.Duration(unregisterShare * float64(margin)))
	return p
}

// idleCloseAt returns when the connection after the one with the given index is closed if
// it is idle.
func (p shutdownPlan) idleCloseAt(index, connections int) time.Time {
	return p.idleCloseStart.Add(p.idleCloseEnd.Sub(p.idleCloseStart) * time.Duration(index) / time.Duration(connections))
}

// lastStart returns until when a statement with a timeout is run: as long as the timeout ends
// before responseEnd, and at least until transactionEnd.
func (p shutdownPlan) lastStart(timeout time.Duration) time.Time {
	if last := p.responseEnd.Add(-timeout - forwardMargin); last.After(p.transactionEnd) {
		return last
	}
	return p.transactionEnd
}
