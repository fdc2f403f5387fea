package group

import (
	"testing"
	"testing/synctest"
	"time"

	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
)

// TestFleetPromotesOnce checks that all instances together promote exactly once after
// the primary is lost, and within 1.5 s.
func TestFleetPromotesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 1, 1500*time.Microsecond, func(f *fleet) {
			gaps := f.failover(3 * time.Second)
			if len(gaps) != 1 || !gaps[0].Claimed || gaps[0].Total() > 1500*time.Millisecond {
				t.Errorf("gaps = %+v, want one with a claim and at most 1.5 s", gaps)
			}
			for i, set := range f.sets {
				watcher, _ := set.Watcher("ledger")
				if view := watcher.View(); view.Term != 2 || view.Primary == "a" {
					t.Errorf("instance %d sees primary %s of term %d, want another of term 2", i, view.Primary, view.Term)
				}
			}
		})
	})
}

// TestFleetPromotesWithoutStore checks that an outage of the store, in which no claim can
// be granted, delays a promotion but does not prevent it.
func TestFleetPromotesWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 2, 1500*time.Microsecond, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{Down: true})
			gaps := f.failover(5 * time.Second)
			if len(gaps) == 0 || gaps[0].Claimed || gaps[0].Total() > 13*time.Second {
				t.Errorf("gaps = %+v, want one without a claim and at most 13 s", gaps)
			}
		})
	})
}

// TestFleetKeepsPrimaryUnreachableFromOneDomain checks that a primary which only one
// failure domain cannot reach is not replaced.
func TestFleetKeepsPrimaryUnreachableFromOneDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 3, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			for i := range fleetSize {
				if domainOf(i) == "d0" {
					f.cutLink(string(instanceOf(i)), "a")
				}
			}
			<-time.After(30 * time.Second)
			f.platform.WithGroup(func(g *grouptest.Group) {
				if term := g.Member("a").Promised; term != 1 {
					t.Errorf("a healthy primary was fenced at term %d", term)
				}
			})
		})
	})
}

// TestFleetReplacesPrimaryCutOffFromReplicas checks that a primary which responds but
// cannot replicate its log is replaced.
func TestFleetReplacesPrimaryCutOffFromReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 4, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.cutLink("a", "b")
			f.cutLink("a", "c")
			write(f.platform, 1)
			<-time.After(4 * time.Second)
			gaps := f.reportedGaps()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseStalled || gaps[0].Primary == "a" {
				t.Errorf("gaps = %+v, want one of a stalled primary, to another", gaps)
			}
		})
	})
}

// TestFleetCompletesAbandonedPromotion checks that the group gets a primary after an
// instance fenced a majority and then stopped before it promoted a member.
func TestFleetCompletesAbandonedPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 5, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.platform.WithGroup(func(g *grouptest.Group) {
				for _, m := range g.Members[1:] {
					if err := g.Fence(m, 2); err != nil {
						t.Error(err)
					}
				}
			})
			<-time.After(3 * time.Second)
			gaps := f.reportedGaps()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseHeadless || gaps[0].Term < 3 {
				t.Errorf("gaps = %+v, want one of a headless group above term 2", gaps)
			}
		})
	})
}

// TestFleetPromotesDespiteAbandonedClaim checks that a claim which is never released and
// has no lease delays a promotion but does not prevent it.
func TestFleetPromotesDespiteAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 6, 1500*time.Microsecond, func(f *fleet) {
			claim := store.Swap{Key: promotion.ClaimKey("ledger"), Value: []byte{0}}
			if _, err := f.store.CompareAndSwap(t.Context(), claim); err != nil {
				t.Fatal(err)
			}
			gaps := f.failover(8 * time.Second)
			if len(gaps) == 0 || gaps[0].Claimed || f.outage() > 13*time.Second {
				t.Errorf("gaps = %+v after %v, want one without the claim and at most 13 s", gaps, f.outage())
			}
		})
	})
}

// TestFleetPromotesWithSlowStore checks that a store which is slower than the timeout of
// a claim does not prevent a promotion.
func TestFleetPromotesWithSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 7, 1500*time.Microsecond, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{DelayMillis: 3000})
			gaps := f.failover(8 * time.Second)
			if len(gaps) == 0 || f.outage() > 13*time.Second {
				t.Errorf("gaps = %+v after %v, want one within 13 s", gaps, f.outage())
			}
		})
	})
}

// TestFleetPromotesWhenClaimResponseIsLost checks that an instance whose claim was
// granted, but whose response from the store was lost, finds out that it holds the claim.
func TestFleetPromotesWhenClaimResponseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 8, 1500*time.Microsecond, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{DelayMillis: 3, LoseProbability: 1})
			gaps := f.failover(4 * time.Second)
			if len(gaps) != 1 || f.outage() > 1500*time.Millisecond {
				t.Errorf("gaps = %+v after %v, want one within 1.5 s", gaps, f.outage())
			}
		})
	})
}

// TestFleetReplacesLeavingPrimary checks that a leaving primary is replaced by the member
// that is not leaving.
func TestFleetReplacesLeavingPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 9, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.platform.WithGroup(func(g *grouptest.Group) {
				g.Member("a").Leaving = true
				g.Member("c").Leaving = true
			})
			<-time.After(3 * time.Second)
			gaps := f.reportedGaps()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseLeaving || gaps[0].Primary != "b" {
				t.Errorf("gaps = %+v, want one of a leaving primary, to the member that stays", gaps)
			}
		})
	})
}

// TestFleetKeepsLeavingPrimaryNeededForMajority checks that a leaving primary stays
// primary while the other members that respond are no majority.
func TestFleetKeepsLeavingPrimaryNeededForMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 10, 1500*time.Microsecond, func(f *fleet) {
			f.cutLink("*", "c")
			<-time.After(time.Second)
			f.platform.WithGroup(func(g *grouptest.Group) { g.Member("a").Leaving = true })
			<-time.After(20 * time.Second)
			if gaps := f.reportedGaps(); len(gaps) != 0 {
				t.Errorf("gaps = %+v, want none while the majority needs the primary", gaps)
			}
		})
	})
}

// TestFleetToleratesLaggingReplicas checks that replicas which receive the log in bursts,
// further apart than the initial StallTimeout, do not cause one promotion after another.
func TestFleetToleratesLaggingReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 11, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.mu.Lock()
			f.mu.streamInterval = 2500 * time.Millisecond
			f.mu.Unlock()
			watcher, _ := f.sets[0].Watcher("ledger")
			for range 60 {
				f.platform.WithGroup(func(g *grouptest.Group) {
					primary := g.Member(watcher.View().Primary)
					primary.Commit(primary.Begin(), 1)
				})
				<-time.After(time.Second)
			}
			if gaps := f.reportedGaps(); len(gaps) > 1 {
				t.Errorf("%d promotions in a minute with replicas 2.5 s behind, want at most one", len(gaps))
			}
		})
	})
}
