package edge

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

var (
	eventSessionRefused = event.Define(5100, event.Decision, "session refused")
	eventSessionFailed  = event.Define(5101, event.Decision, "session ended by an error")
)

const (
	// startupTimeout bounds the wait for a caller's first message.
	startupTimeout = 5 * time.Second
	// servingPatience is how long callers of a process that has just started wait
	// for its first configuration; they give up after two seconds.
	servingPatience = 1500 * time.Millisecond
)

// CallerCodec speaks with one caller.
type CallerCodec interface {
	ReadStartup(timeout time.Duration) (database, key string, err error)
	ReadStatement() (statement.Statement, error)
	SetReadDeadline(t time.Time) error
	Pending() bool
	WriteReady(state statement.TransactionState, position topology.Point) error
	WriteRefusal(code statement.Code, detail string) error
	WriteAnswer(a statement.Answer) error
	Close() error
}

// AcceptFunc returns the codec of an accepted connection.
type AcceptFunc func(net.Conn) CallerCodec

// callers holds the open sessions.
type callers struct {
	mu   sync.Mutex
	last uint64
	open map[*caller]struct{}
}

// caller is one open session.
type caller struct {
	codec CallerCodec
	mu    sync.Mutex
	// resting reports that no request is outstanding and no transaction open.
	resting bool
	// leaving reports that the session ends as soon as it rests.
	leaving bool
}

func (c *callers) add(one *caller) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*caller]struct{})
	}
	c.open[one] = struct{}{}
	c.last++
	return c.last
}

func (c *callers) remove(one *caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, one)
}

// count returns the number of open sessions.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// all returns the open sessions.
func (c *callers) all() []*caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*caller, 0, len(c.open))
	for one := range c.open {
		all = append(all, one)
	}
	return all
}

// leave ends the session at once if it rests, or as soon as it does.
func (c *caller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.resting {
		_ = c.codec.SetReadDeadline(time.Now()) // an error means that the connection is closed already
	}
}

// rest notes whether the session rests. It reports whether it is to end.
func (c *caller) rest(resting bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = resting
	return resting && c.leaving
}

// serve serves one accepted connection.
func (d *Daemon) serve(conn net.Conn) {
	codec := d.adapter.Accept(conn)
	defer codec.Close()
	one := &caller{codec: codec}
	number := d.callers.add(one)
	defer d.callers.remove(one)
	database, key, err := codec.ReadStartup(startupTimeout)
	if err != nil {
		return // probes of the port end so; nothing was asked
	}
	d.awaitServing()
	session := client.NewSession(number, database, key)
	if code, why := d.engine.Authorize(session); code != statement.OK {
		eventSessionRefused.Log(d.log, "database", database, "code", code.String(), "why", why)
		_ = codec.WriteRefusal(code, why) // the connection is closed next
		return
	}
	if err := codec.WriteReady(statement.Idle, topology.Point{}); err != nil {
		return
	}
	conversation := d.engine.NewSession(session, d.relay)
	defer conversation.Rollback()
	if err := d.converse(one, conversation); err != nil {
		eventSessionFailed.Log(d.log, "database", database, "error", err.Error())
	}
}

// awaitServing waits until the daemon can serve for the first time.
func (d *Daemon) awaitServing() {
	timer := time.NewTimer(servingPatience)
	defer timer.Stop()
	select {
	case <-d.serving:
	case <-timer.C:
	}
}

// converse runs a session's statements until it ends.
func (d *Daemon) converse(one *caller, conversation *engine.Session) error {
	for {
		st, err := d.nextStatement(one, conversation)
		if err != nil || st == nil {
			return err
		}
		if err := one.codec.WriteAnswer(conversation.Run(*st)); err != nil {
			return err
		}
	}
}

// nextStatement reads a statement; nil means that the session ends.
func (d *Daemon) nextStatement(one *caller, conversation *engine.Session) (*statement.Statement, error) {
	holding := conversation.HoldsConnection()
	if holding {
		limit := d.engine.Catalog().TransactionIdle
		if limit > 0 {
			if err := one.codec.SetReadDeadline(time.Now().Add(limit)); err != nil {
				return nil, err
			}
		}
	}
	if one.rest(conversation.State() == statement.Idle && !one.codec.Pending()) {
		return nil, nil
	}
	st, err := one.codec.ReadStatement()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		if one.rest(conversation.State() == statement.Idle && !one.codec.Pending()) {
			return nil, nil
		}
		conversation.ExpireTransaction()
		if err := one.codec.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		holding = false
		st, err = one.codec.ReadStatement()
	}
	one.rest(false)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return nil, nil
	case err != nil:
		return nil, err
	}
	if holding {
		if err := one.codec.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	return &st, nil
}
