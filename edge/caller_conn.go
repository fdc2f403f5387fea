package edge

import (
	"net"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
)

// callerConns is the set of open caller connections. It is safe for concurrent use.
type callerConns struct {
	mu     sync.Mutex
	lastID uint64
	conns  map[*callerConn]struct{}
}

// add adds a connection and returns a unique ID for its session.
func (c *callerConns) add(conn *callerConn) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[*callerConn]struct{})
	}
	c.conns[conn] = struct{}{}
	c.lastID++
	return c.lastID
}

func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// snapshot returns the open connections.
func (c *callerConns) snapshot() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*callerConn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}

// callerConn is an open caller connection. Its session's goroutine waits for a statement,
// runs it and responds, in turn; a shutdown interrupts the wait, or responds in its place.
type callerConn struct {
	codec CallerCodec

	// mu guards the fields below.
	mu sync.Mutex
	// waiting is set while the next statement is read. idle says that no transaction is
	// open meanwhile and that nothing of a statement has arrived.
	waiting, idle bool
	// hasDeadline is set while the reads have a deadline.
	hasDeadline bool
	// closing marks the connection for closing as soon as it is idle, and ended for closing
	// at once: no statement is run on it any more.
	closing, ended bool
	// closingSince is when closing was set first.
	closingSince time.Time
	// running is the statement that was read and has no response yet, nil between
	// statements.
	running *runningStatement
	// finished is closed when the response that end leaves to its caller is written, nil without
	// one.
	finished chan struct{}
}

// runningStatement is a statement that was read and has no response yet.
type runningStatement struct {
	id    string
	kind  statement.Kind
	since time.Time
	// unfinished is the response if the process exits before the statement's result is known, and
	// unsent the one if the statement cannot have been sent, and is not sent any more.
	unfinished, unsent statement.Response
	session            callerSession
}

// closeWhenIdle has the caller dismissed and the connection closed as soon as it is idle.
func (c *callerConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.closing, c.closingSince = true, time.Now()
	}
	if c.waiting && c.idle {
		c.interruptWait()
	}
}

// wake has a session that waits for a statement determine again how long it may.
func (c *callerConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.interruptWait()
	}
}

// wakeInTransaction wakes a session that waits for a statement of an open transaction.
func (c *callerConn) wakeInTransaction() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && !c.idle {
		c.interruptWait()
	}
}

// interruptWait interrupts the pending read. The caller holds c.mu.
func (c *callerConn) interruptWait() {
	c.hasDeadline = true
	_ = c.codec.SetReadDeadline(time.Now()) // fails only if the connection is closed already
}

const (
	// lingerTime is how long a connection that is to be closed must have been idle: a caller that
	// sends one statement right after the other has sent the next one by then.
	lingerTime = 10 * time.Millisecond
	// maxLingerTime bounds how long a caller that never rests puts off the close.
	maxLingerTime = time.Second
)

// closableFrom returns from when on a connection may be closed that is not in use until lingerEnd,
// zero if it is not to be closed. The caller holds c.mu.
func (c *callerConn) closableFrom(lingerEnd time.Time) time.Time {
	if !c.idle || !c.closing {
		return time.Time{}
	}
	return earliest(lingerEnd, c.closingSince.Add(maxLingerTime))
}

// awaitStatement prepares the read of the next statement, until a deadline if that is not
// zero. It reports whether the connection is to be closed instead. The deadline is
// determined under the lock, so that a later wake interrupts the read.
func (c *callerConn) awaitStatement(idle bool, lingerEnd time.Time, deadline func() time.Time) (toClose bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle && !c.codec.Pending()
	closable := c.closableFrom(lingerEnd)
	if c.ended || reached(closable, time.Now()) {
		return true, nil
	}
	c.waiting = true
	end := earliest(deadline(), closable)
	if end.IsZero() && !c.hasDeadline {
		return false, nil
	}
	c.hasDeadline = !end.IsZero()
	return false, c.codec.SetReadDeadline(end)
}

// endWait records that the read of a statement has ended.
func (c *callerConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.idle = false, false
}

// begin records that a statement was read and is run now. It returns false if the statement
// must not run because the connection has ended.
func (c *callerConn) begin(st statement.Statement, session callerSession) bool {
	running := &runningStatement{id: st.ID, kind: st.Kind, since: time.Now(), session: session}
	running.unfinished, running.unsent = unfinishedResponses(st, session)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.running = running
	return true
}

// unfinishedResponses returns the responses to a statement whose result is not known when the
// process exits: if it may have been sent, and if not. Without COMMIT, the target rolls a
// transaction back when it loses the connection; a COMMIT and a write outside of a transaction that may have
// been sent are in doubt.
func unfinishedResponses(st statement.Statement, session callerSession) (sent, unsent statement.Response) {
	notRun := statement.Response{Code: statement.Busy, Detail: reasonShutdown, State: statement.Idle}
	rolledBack := statement.Response{Code: statement.Aborted, Detail: reasonShutdown, State: statement.Failed}
	inDoubt := statement.Response{Code: statement.InDoubt, Detail: reasonShutdown, State: statement.Idle}
	switch inTransaction := session.State() != statement.Idle; {
	case st.Kind == statement.Commit:
		rolledBack.State = statement.Idle
		return inDoubt, rolledBack
	case inTransaction:
		return rolledBack, rolledBack
	case session.MayWrite(st):
		return inDoubt, notRun
	default:
		return notRun, notRun
	}
}

// respond writes the response to the running statement, unless end has left it to another:
// then it waits for that, since its caller closes the connection.
func (c *callerConn) respond(response statement.Response) error {
	c.mu.Lock()
	if finished := c.finished; finished != nil {
		c.mu.Unlock()
		<-finished
		return net.ErrClosed
	}
	c.running = nil
	c.mu.Unlock()
	return c.codec.WriteResponse(response)
}

// end ends the connection, so that no statement is run on it any more. It returns the
// running statement, if there is one, whose response is then the caller's to write with finish.
func (c *callerConn) end() *runningStatement {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := c.running
	c.running, c.ended = nil, true
	if running != nil {
		c.finished = make(chan struct{})
		if !running.session.EndSends() {
			running.unfinished = running.unsent
		}
	}
	if c.waiting {
		c.interruptWait()
	}
	return running
}

// finish writes the response to a statement that end has returned, and closes the connection.
func (c *callerConn) finish(running *runningStatement) {
	_ = c.codec.WriteResponse(running.unfinished) // the connection ends in any case
	close(c.finished)
	_ = c.codec.Close()
}

// isRunning reports whether a statement is running.
func (c *callerConn) isRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running != nil
}
