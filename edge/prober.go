package edge

import (
	"context"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
)

// proberIdleTimeout is how long the prober keeps an idle connection.
const proberIdleTimeout = 2 * time.Second

// prober sends status requests and demotions to targets over connections of its own,
// apart from those of the requests. It implements failover.Prober and is safe for
// concurrent use.
type prober struct {
	dialer target.Dialer
	decode func(statement.Response) (failover.TargetStatus, error)
	// mu guards idle.
	mu sync.Mutex
	// idle holds at most one idle connection for each target.
	idle map[topology.TargetID]target.Conn
}

func newProber(dialer target.Dialer, decode func(statement.Response) (failover.TargetStatus, error)) *prober {
	return &prober{dialer: dialer, decode: decode, idle: make(map[topology.TargetID]target.Conn)}
}

// Status implements failover.Prober.
func (p *prober) Status(ctx context.Context, t directory.Target) (failover.TargetStatus, error) {
	response, err := p.request(ctx, t, statement.Statement{Kind: statement.Status})
	if err != nil {
		return failover.TargetStatus{}, err
	}
	return p.decode(response)
}

// Demote implements failover.Prober.
func (p *prober) Demote(ctx context.Context, t directory.Target, term topology.Term) error {
	response, err := p.request(ctx, t, statement.Statement{Kind: statement.Demote, Term: term})
	if err != nil {
		return err
	}
	_, err = p.decode(response)
	return err
}

// request runs a statement on a target, over the idle connection or a new one.
func (p *prober) request(ctx context.Context, t directory.Target, s statement.Statement) (statement.Response, error) {
	conn := p.takeIdle(t.ID)
	if conn == nil {
		var err error
		conn, err = p.dialer.Dial(ctx, target.Endpoint{Target: t.ID, Service: t.Service, Address: t.Address})
		if err != nil {
			return statement.Response{}, err
		}
	}
	timeout := probeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, time.Until(deadline))
	}
	response, err := conn.Do(s, timeout)
	if err != nil {
		_ = conn.Close() // the request's error is returned
		return statement.Response{}, err
	}
	p.keepIdle(t.ID, conn)
	return response, nil
}

// takeIdle removes and returns the idle connection to a target, nil if there is none.
func (p *prober) takeIdle(id topology.TargetID) target.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.idle[id]
	delete(p.idle, id)
	return conn
}

// keepIdle keeps a connection for the next request, for up to proberIdleTimeout.
func (p *prober) keepIdle(id topology.TargetID, conn target.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.idle[id]; other != nil {
		_ = conn.Close() // one is kept already
		return
	}
	p.idle[id] = conn
	time.AfterFunc(proberIdleTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.idle[id] == conn {
			delete(p.idle, id)
			_ = conn.Close() // it was idle
		}
	})
}
