package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
)

// The process is suspended during a failover, loses the leadership and acquires it
// again; another instance may have been the leader in between. Actions that began under
// the first token must be aborted.
func TestEarlierLeadershipTokenIsInvalid(t *testing.T) {
	d := newTestDaemon(t)
	now := time.Minute
	d.clock = func() time.Duration { return now }
	d.setLeadershipLease(1, now)
	d.setLeadership(true, 10)
	if !d.holdsLeadership(10, promotionWindow) {
		t.Fatal("the leadership is not held right after it was acquired")
	}
	now += promotionWindow
	if d.holdsLeadership(10, promotionWindow) || !d.holdsLeadership(10, leadershipDuration) {
		t.Fatal("a promotion may be requested too long after the last renewal")
	}
	d.setLeadershipLease(2, now)
	d.setLeadership(true, 30)
	if d.holdsLeadership(10, leadershipDuration) || !d.holdsLeadership(30, leadershipDuration) {
		t.Fatal("the earlier token is valid")
	}
}

// promoterFunc is a failover.Promoter.
type promoterFunc func(failover.PromotionRequest) error

func (f promoterFunc) Promote(_ context.Context, request failover.PromotionRequest) error {
	return f(request)
}

// Found by the independent review, by reading: a leader that shuts down deletes the key of the
// leadership at once. A promotion that it is requesting, or requests afterwards, has a lower token
// than those of the next leader, and must not follow them.
func TestResignedLeaderRequestsNoPromotion(t *testing.T) {
	for _, requesting := range []bool{false, true} {
		s := newRestorableStore(t)
		d := s.daemon
		value := []byte(d.leadershipValue())
		revision, err := d.store.CompareAndSwap(t.Context(), store.Swap{Key: keyLeadership, Value: value})
		if err != nil {
			t.Fatal(err)
		}
		s.receive()
		token := failover.FencingToken(revision)
		d.setLeadershipLease(1, d.clock())
		d.setLeadership(true, token)
		holds := true
		d.promoter = promoterFunc(func(request failover.PromotionRequest) error {
			if d.stopping.Store(true); requesting {
				d.resignLeadership()
			}
			holds = request.HoldsLeadership()
			return nil
		})
		if !requesting {
			d.stopping.Store(true)
			d.resignLeadership()
		}
		result := d.runFailoverAction(t.Context(), "s", failover.Action{Kind: failover.PromoteTarget}, token)
		if requesting && holds || !requesting && !result.Failed {
			t.Errorf("requesting %t: a promotion may be sent after the leadership was resigned", requesting)
		}
		d.setLeadership(true, token) // a renewal was in progress
		if d.holdsLeadership(token, leadershipDuration) {
			t.Errorf("requesting %t: the token outlives the leadership", requesting)
		}
		entry, err := d.store.Get(t.Context(), keyLeadership)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			t.Fatal(err)
		}
		if kept := string(entry.Value) == string(value); kept != requesting {
			t.Errorf("requesting %t: key kept %t; another instance may lead while a request is on its way", requesting, kept)
		}
	}
}

// The key of the next leader is known before a record of this one is written. The record must not
// be written on the strength of that key.
func TestRecordIsNotPublishedUnderTheKeyOfTheNextLeader(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	stored := &leaseStore{changes: store.NewRevision(1, 20)}
	stored.put(store.Put{Key: keyLeadership, Value: []byte("other 1")})
	d.store = newThrottledStore(stored, d.clock)
	d.applyChanges([]store.Change{{Entry: stored.entries[keyLeadership]}})
	d.setLeadershipLease(1, *now)
	token := failover.FencingToken(store.NewRevision(1, 10))
	d.setLeadership(true, token)
	publish := failover.Action{Kind: failover.PublishRecord, Record: failover.Record{Primary: "a", Term: 1}}
	if result := d.runFailoverAction(t.Context(), "s", publish, token); !result.Failed {
		t.Fatalf("published: %s", stored.entries[recordKey("s")].Value)
	}
}
