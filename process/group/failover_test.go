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

func TestFleetKeepsPrimaryThatOneDomainLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 3, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			for i := range fleetSize {
				if domainOf(i) == "d0" {
					f.sever(string(instanceOf(i)), "a")
				}
			}
			<-time.After(30 * time.Second)
			f.platform.Do(func(g *grouptest.Group) {
				if term := g.Member("a").Promised; term != 1 {
					t.Errorf("a healthy primary was fenced at term %d", term)
				}
			})
		})
	})
}

func TestFleetReplacesPrimaryCutOffFromItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 4, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.sever("a", "b")
			f.sever("a", "c")
			write(f.platform, 1)
			<-time.After(4 * time.Second)
			gaps := f.promotions()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseStalled || gaps[0].Primary == "a" {
				t.Errorf("gaps = %+v, want one of a stalled primary, to another", gaps)
			}
		})
	})
}

func TestFleetTakesUpAbandonedPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 5, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.platform.Do(func(g *grouptest.Group) {
				for _, m := range g.Members[1:] {
					if err := g.Fence(m, 2); err != nil {
						t.Error(err)
					}
				}
			})
			<-time.After(3 * time.Second)
			gaps := f.promotions()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseHeadless || gaps[0].Term < 3 {
				t.Errorf("gaps = %+v, want one of a headless group above term 2", gaps)
			}
		})
	})
}

func TestFleetPromotesBesideAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 6, 1500*time.Microsecond, func(f *fleet) {
			swap := store.Swap{Key: promotion.ClaimKey("ledger"), Value: []byte{0}}
			if _, err := f.store.CompareAndSwap(t.Context(), swap); err != nil {
				t.Fatal(err)
			}
			gaps := f.failover(8 * time.Second)
			if len(gaps) == 0 || gaps[0].Claimed || f.outage() > 13*time.Second {
				t.Errorf("gaps = %+v after %v, want one without the claim and at most 13 s", gaps, f.outage())
			}
		})
	})
}

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

func TestFleetPromotesWhenClaimAnswerIsLost(t *testing.T) {
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

func TestFleetReplacesLeavingPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 9, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.platform.Do(func(g *grouptest.Group) {
				g.Member("a").Leaving = true
				g.Member("c").Leaving = true
			})
			<-time.After(3 * time.Second)
			gaps := f.promotions()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseLeaving || gaps[0].Primary != "b" {
				t.Errorf("gaps = %+v, want one of a leaving primary, to the member that stays", gaps)
			}
		})
	})
}

func TestFleetKeepsLeavingPrimaryThatItNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 10, 1500*time.Microsecond, func(f *fleet) {
			f.sever("*", "c")
			<-time.After(time.Second)
			f.platform.Do(func(g *grouptest.Group) { g.Member("a").Leaving = true })
			<-time.After(20 * time.Second)
			if gaps := f.promotions(); len(gaps) != 0 {
				t.Errorf("gaps = %+v, want none while the majority needs the primary", gaps)
			}
		})
	})
}

// TestFleetBearsReplicasThatFallBehind has both replicas take the log in bursts
// that are further apart than a stalled primary is borne at first.
func TestFleetBearsReplicasThatFallBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 11, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.mu.Lock()
			f.mu.streamEvery = 2500 * time.Millisecond
			f.mu.Unlock()
			watcher, _ := f.sets[0].Watcher("ledger")
			for range 60 {
				f.platform.Do(func(g *grouptest.Group) {
					primary := g.Member(watcher.View().Primary)
					primary.Commit(primary.Begin(), 1)
				})
				<-time.After(time.Second)
			}
			if gaps := f.promotions(); len(gaps) > 1 {
				t.Errorf("%d promotions in a minute with replicas 2.5 s behind, want at most one", len(gaps))
			}
		})
	})
}
