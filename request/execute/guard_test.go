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

// movedOn is a group whose primary is another one, at a later term.
type movedOn struct{ group.Watcher }

func (movedOn) View() *group.View { return &group.View{Primary: "t-2", Term: 2} }

// stuckPools is a pool of a target that accepts dials and never answers.
type stuckPools struct{ limit time.Duration }

func (p stuckPools) Acquire(ctx context.Context, _ topology.ServiceID, _ topology.TargetID, _ topology.CustomerID) (Lease, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(p.limit):
		return nil, errors.New("dial timed out")
	}
}

func TestAWaitForAConnectionEndsWhenThePrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialTimeout = 3 * time.Second
		x := New(Config{}, Deps{Pools: stuckPools{dialTimeout}, Clock: func() time.Duration { return 0 }})
		r := &request{
			conversation: &conversation{executor: x, session: &session.Session{}},
			ctx:          context.Background(),
			watcher:      movedOn{},
		}
		begin := time.Now()
		target := &group.TargetView{Target: platform.Target{ID: "t-1"}}
		_, err := r.acquireGuarded(route.Decision{Target: target, Term: 1, Reason: route.ReasonPrimary})
		var unreachable *unreachableError
		if !errors.As(err, &unreachable) {
			t.Fatalf("error %v, want an unreachable target", err)
		}
		if waited := time.Since(begin); waited >= dialTimeout {
			t.Fatalf("waited %v for a target that was replaced", waited)
		}
	})
}
