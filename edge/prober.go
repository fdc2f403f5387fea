package edge

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
)

// prober sends status requests and demotions to targets, each over a connection of its own: a
// status carries nothing that tells it from a late copy of an earlier one, and failovers rely on it.
// It implements failover.Prober and is safe for concurrent use.
type prober struct {
	dialer target.Dialer
	decode func(statement.Response) (failover.TargetStatus, error)
}

func newProber(dialer target.Dialer, decode func(statement.Response) (failover.TargetStatus, error)) *prober {
	return &prober{dialer: dialer, decode: decode}
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

// request runs a statement on a target.
func (p *prober) request(ctx context.Context, t directory.Target, s statement.Statement) (statement.Response, error) {
	conn, err := p.dialer.Dial(ctx, target.Endpoint{Target: t.ID, Service: t.Service, Address: t.Address})
	if err != nil {
		return statement.Response{}, err
	}
	defer conn.Close()
	timeout := probeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, time.Until(deadline))
	}
	return conn.Do(s, timeout)
}
