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

// pathReplicate is the control path on which a member receives log records from
// a primary that runs in another process.
const pathReplicate = "/v1/replicate"

// newControlHandler returns the handler of the platform's control interface, whose
// calls wait at the traffic gates, and of replication from members in other
// processes. Replication bypasses the gates here because receiveAppend applies the
// faults that concern it.
func (m *Member) newControlHandler(proc *process) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", httpgroup.Handler(controlServer{proc}))
	mux.Handle(pathReplicate, httpjson.Handle(classify, func(ctx context.Context, request database.AppendRequest) (remoteAppendResponse, error) {
		response, err := m.receiveAppend(ctx, request)
		return remoteAppendResponse{AppendResponse: response, ReceiveLagMillis: m.Faults().ReceiveLagMillis}, err
	}))
	return mux
}

func classify(error) (int, httpjson.Code) { return http.StatusServiceUnavailable, "unavailable" }

// controlServer serves the control interface of a member's database while the
// member is reachable on its control address. It implements httpgroup.Member.
type controlServer struct {
	process *process
}

// callWhenReachable waits before the call, as a server that is cut off receives its
// requests late, and after it, so that a fault that is set meanwhile delays the
// response.
func callWhenReachable[A any](c controlServer, call func(*database.Database) (A, error)) (A, error) {
	var none A
	if err := c.waitUntilReachable(); err != nil {
		return none, err
	}
	response, err := call(c.process.member.database)
	if passErr := c.waitUntilReachable(); passErr != nil {
		return none, passErr
	}
	return response, err
}

func (c controlServer) waitUntilReachable() error {
	m := c.process.member
	if err := m.gates.allTraffic.wait(c.process.stopped); err != nil {
		return err
	}
	return m.gates.controlTraffic.wait(c.process.stopped)
}

// Status implements httpgroup.Member.
func (c controlServer) Status(ctx context.Context) (topology.Status, error) {
	return callWhenReachable(c, func(d *database.Database) (topology.Status, error) { return d.Status(ctx) })
}

// Fence implements httpgroup.Member.
func (c controlServer) Fence(ctx context.Context, term topology.Term) (topology.Status, error) {
	return callWhenReachable(c, func(d *database.Database) (topology.Status, error) {
		status, err := d.Fence(ctx, term)
		if err == nil {
			eventFenced.Log(c.process.member.cfg.Log, "target", status.Target, "term", term)
		}
		return status, err
	})
}

// Promote implements httpgroup.Member.
func (c controlServer) Promote(ctx context.Context, term topology.Term) (topology.Status, error) {
	return callWhenReachable(c, func(d *database.Database) (topology.Status, error) {
		status, err := d.Promote(ctx, term)
		if err == nil {
			eventPromoted.Log(c.process.member.cfg.Log, "target", status.Target, "term", term, "received", status.Received.String())
		}
		return status, err
	})
}

// TransactionStatus implements httpgroup.Member.
func (c controlServer) TransactionStatus(ctx context.Context, transaction uint64) (platform.TransactionReport, error) {
	return callWhenReachable(c, func(d *database.Database) (platform.TransactionReport, error) {
		return d.TransactionStatus(ctx, transaction)
	})
}
