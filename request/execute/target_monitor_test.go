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

// replacedPrimaryView is a group watcher whose view has t-2 as primary of term
// 2.
type replacedPrimaryView struct{ group.Watcher }

func (replacedPrimaryView) View() *group.View { return &group.View{Primary: "t-2", Term: 2} }

// hangingPools is the pool of a target that accepts connections and never
// responds.
type hangingPools struct{ dialTimeout time.Duration }

func (p hangingPools) Acquire(ctx context.Context, _ topology.ServiceID, _ topology.TargetID, _ topology.CustomerID) (Lease, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(p.dialTimeout):
		return nil, errors.New("dial timed out")
	}
}

// TestAcquireStopsWhenPrimaryIsReplaced checks that a request does not wait out
// the dial timeout of a target that was replaced as primary.
func TestAcquireStopsWhenPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialTimeout = 3 * time.Second
		x := New(Config{}, Deps{Pools: hangingPools{dialTimeout}, Clock: func() time.Duration { return 0 }})
		r := &request{
			sessionExecutor: &sessionExecutor{executor: x, session: &session.Session{}},
			ctx:             context.Background(),
			watcher:         replacedPrimaryView{},
		}
		start := time.Now()
		target := &group.TargetView{Target: platform.Target{ID: "t-1"}}
		_, err := r.acquireMonitored(route.Decision{Target: target, Term: 1, Reason: route.ReasonPrimary})
		var unreachable *unreachableError
		if !errors.As(err, &unreachable) {
			t.Fatalf("error %v, want an unreachable target", err)
		}
		if elapsed := time.Since(start); elapsed >= dialTimeout {
			t.Fatalf("waited %v for a target that was replaced", elapsed)
		}
	})
}

// A daemon that had been suspended took the first status request that failed for a target that
// had been silent all the while, and gave up the transactions on it.
func TestTargetIsUnusableOnlyAfterItsSilence(t *testing.T) {
	x := New(Config{}, Deps{Clock: func() time.Duration { return time.Minute }})
	m := &targetMonitor{request: &request{sessionExecutor: &sessionExecutor{executor: x}}, target: "t-1"}
	for _, silence := range []time.Duration{defaultStallTimeout, defaultStallTimeout + time.Millisecond} {
		view := &group.View{Targets: []group.TargetView{{Target: platform.Target{ID: "t-1"}, Known: true, SilentSince: time.Minute - silence}}}
		if got, want := m.isUnusable(view), silence > defaultStallTimeout; got != want {
			t.Errorf("silent for %v: unusable %v, want %v", silence, got, want)
		}
	}
}
