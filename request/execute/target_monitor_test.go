package execute

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/route"
)

// promotedElsewhere is a group whose primary is another one, at a later term.
type promotedElsewhere struct{ group.Watcher }

func (promotedElsewhere) View() *group.View { return &group.View{Primary: "t-2", Term: 2} }

// hangingPools is a pool of a target that accepts dials and never answers.
type hangingPools struct{ limit time.Duration }

func (p hangingPools) Acquire(ctx context.Context, _ topology.ServiceID, _ topology.TargetID, _ topology.CustomerID) (Lease, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(p.limit):
		return nil, errors.New("dial timed out")
	}
}

func TestAcquireStopsWhenPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialTimeout = 3 * time.Second
		x := New(Config{}, Deps{Pools: hangingPools{dialTimeout}, Clock: func() time.Duration { return 0 }})
		r := &request{
			sessionExecutor: &sessionExecutor{executor: x, session: &session.Session{}},
			ctx:             context.Background(),
			watcher:         promotedElsewhere{},
		}
		start := time.Now()
		target := &group.TargetView{Target: platform.Target{ID: "t-1"}}
		_, err := r.acquireMonitored(route.Decision{Target: target, Term: 1, Reason: route.ReasonPrimary})
		var unreachable *unreachableError
		if !errors.As(err, &unreachable) {
			t.Fatalf("error %v, want an unreachable target", err)
		}
		if waited := time.Since(start); waited >= dialTimeout {
			t.Fatalf("waited %v for a target that was replaced", waited)
		}
	})
}
