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

// proberIdle is how long the prober keeps a connection that it does not use.
const proberIdle = 2 * time.Second

// prober asks and commands targets over connections of its own. It implements
// failover.Prober.
type prober struct {
	dialer target.Dialer
	decode func(statement.Answer) (failover.TargetStatus, error)
	mu     sync.Mutex
	idle   map[topology.TargetID]target.Conn
}

func newProber(dialer target.Dialer, decode func(statement.Answer) (failover.TargetStatus, error)) *prober {
	return &prober{dialer: dialer, decode: decode, idle: make(map[topology.TargetID]target.Conn)}
}

// Status implements failover.Prober.
func (p *prober) Status(ctx context.Context, t directory.Target) (failover.TargetStatus, error) {
	answer, err := p.do(ctx, t, statement.Statement{Kind: statement.Status})
	if err != nil {
		return failover.TargetStatus{}, err
	}
	return p.decode(answer)
}

// Demote implements failover.Prober.
func (p *prober) Demote(ctx context.Context, t directory.Target, term topology.Term) error {
	answer, err := p.do(ctx, t, statement.Statement{Kind: statement.Demote, Term: term})
	if err != nil {
		return err
	}
	_, err = p.decode(answer)
	return err
}

func (p *prober) do(ctx context.Context, t directory.Target, s statement.Statement) (statement.Answer, error) {
	conn := p.take(t.ID)
	if conn == nil {
		var err error
		conn, err = p.dialer.Dial(ctx, target.Endpoint{Target: t.ID, Service: t.Service, Address: t.Address})
		if err != nil {
			return statement.Answer{}, err
		}
	}
	timeout := probeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, time.Until(deadline))
	}
	answer, err := conn.Do(s, timeout)
	if err != nil {
		_ = conn.Close() // the error of the request is returned
		return statement.Answer{}, err
	}
	p.keep(t.ID, conn)
	return answer, nil
}

func (p *prober) take(id topology.TargetID) target.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.idle[id]
	delete(p.idle, id)
	return conn
}

// keep keeps a connection for the next request for a while.
func (p *prober) keep(id topology.TargetID, conn target.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.idle[id]; other != nil {
		_ = conn.Close() // another request has kept one
		return
	}
	p.idle[id] = conn
	time.AfterFunc(proberIdle, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.idle[id] == conn {
			delete(p.idle, id)
			_ = conn.Close() // it was idle
		}
	})
}
