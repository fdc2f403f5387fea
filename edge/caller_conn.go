package edge

import (
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

// callerConn is an open caller connection.
type callerConn struct {
	codec CallerCodec
	// mu guards the fields below.
	mu sync.Mutex
	// idle reports that no statement is running or pending and no transaction open.
	idle bool
	// closing marks the connection for closing as soon as it is idle.
	closing bool
	// running is the statement that was read and has no result yet, since runningSince; nil
	// between statements.
	running      *statement.Statement
	runningSince time.Time
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

// closeWhenIdle has the connection closed as soon as it is idle. If it is idle now, its
// pending read is interrupted.
func (c *callerConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		_ = c.codec.SetReadDeadline(time.Now()) // fails only if the connection is closed already
	}
}

// setIdle records whether the connection is idle, and reports whether it is to be
// closed now.
func (c *callerConn) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	return idle && c.closing
}

// begin records that a statement was read and is run now.
func (c *callerConn) begin(st *statement.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.runningSince = st, time.Now()
}

// end records that the running statement has a result.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = nil
}

// runningStatement returns the ID and the kind of the running statement and the time since
// it was read.
func (c *callerConn) runningStatement() (id string, kind statement.Kind, age time.Duration, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		return "", statement.Invalid, 0, false
	}
	return c.running.ID, c.running.Kind, time.Since(c.runningSince), true
}
