package group

import (
	"context"
	"net/http"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpgroup"
	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/database"
)

// pathReplicate is where a member takes the log from a primary that runs in
// another process.
const pathReplicate = "/v1/replicate"

func (m *Member) controlHandler(r *run) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", httpgroup.Handler(controlled{r}))
	mux.Handle(pathReplicate, httpjson.Handle(classify, func(ctx context.Context, q database.Stream) (remoteAnswer, error) {
		answer, err := m.receive(ctx, q)
		return remoteAnswer{StreamAnswer: answer, ReceiveLagMillis: m.Faults().ReceiveLagMillis}, err
	}))
	return mux
}

func classify(error) (int, httpjson.Code) { return http.StatusServiceUnavailable, "unavailable" }

// controlled serves the member's database on its control address, behind the
// gates. It implements httpgroup.Member.
type controlled struct {
	run *run
}

func guarded[A any](c controlled, f func(*database.Database) (A, error)) (A, error) {
	var none A
	if err := c.pass(); err != nil {
		return none, err
	}
	answer, err := f(c.run.member.database)
	if passErr := c.pass(); passErr != nil {
		return none, passErr
	}
	return answer, err
}

func (c controlled) pass() error {
	m := c.run.member
	if err := m.gates.frozen.pass(c.run.stopped); err != nil {
		return err
	}
	return m.gates.control.pass(c.run.stopped)
}

// Status implements httpgroup.Member.
func (c controlled) Status(ctx context.Context) (topology.Status, error) {
	return guarded(c, func(d *database.Database) (topology.Status, error) { return d.Status(ctx) })
}

// Fence implements httpgroup.Member.
func (c controlled) Fence(ctx context.Context, term topology.Term) (topology.Status, error) {
	return guarded(c, func(d *database.Database) (topology.Status, error) {
		status, err := d.Fence(ctx, term)
		if err == nil {
			eventFenced.Log(c.run.member.cfg.Log, "target", status.Target, "term", term)
		}
		return status, err
	})
}

// Promote implements httpgroup.Member.
func (c controlled) Promote(ctx context.Context, term topology.Term) (topology.Status, error) {
	return guarded(c, func(d *database.Database) (topology.Status, error) {
		status, err := d.Promote(ctx, term)
		if err == nil {
			eventPromoted.Log(c.run.member.cfg.Log, "target", status.Target, "term", term, "received", status.Received.String())
		}
		return status, err
	})
}

// TransactionStatus implements httpgroup.Member.
func (c controlled) TransactionStatus(ctx context.Context, transaction uint64) (platform.TransactionReport, error) {
	return guarded(c, func(d *database.Database) (platform.TransactionReport, error) {
		return d.TransactionStatus(ctx, transaction)
	})
}
