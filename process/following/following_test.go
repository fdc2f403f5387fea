package following

import (
	"fmt"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const ms = time.Millisecond

func candidates(count int) []Candidate {
	all := make([]Candidate, count)
	for i := range all {
		all[i] = Candidate{ID: topology.InstanceID(fmt.Sprintf("owner-%d", i)), Local: i%6 == 0}
	}
	return all
}

// ask returns the peer that is asked next, and when.
func (f *Follower) ask(t *testing.T, now time.Duration) (topology.InstanceID, time.Duration) {
	t.Helper()
	for range 100 {
		peer, wait := f.Next(now)
		if peer != "" {
			return peer, now
		}
		now += wait
	}
	t.Fatal("no peer is asked")
	return "", 0
}

func TestOneLocalPeerIsFollowedAsLongAsItAnswers(t *testing.T) {
	f := New("self", 0)
	f.SetCandidates(candidates(18))
	first, now := f.ask(t, 0)
	if first != "owner-0" && first != "owner-6" && first != "owner-12" {
		t.Fatalf("%s, of another failure domain, is followed", first)
	}
	for range 20 {
		f.Answered(now+2*ms, first, 500*ms)
		peer, next := f.ask(t, now+2*ms)
		if peer != first || next != now+Interval {
			t.Fatalf("%s is asked at %s after %s at %s", peer, next, first, now)
		}
		now = next
		if f.Stale(now) {
			t.Fatal("stale although the peer answers")
		}
	}
}

// A peer that is cut off from the store answers, but with an old confirmation.
func TestOutdatedAndSilentPeersAreReplaced(t *testing.T) {
	f := New("self", 0)
	f.SetCandidates(candidates(18))
	outdated, now := f.ask(t, 0)
	f.Answered(now, outdated, 3100*ms)
	silent, now := f.ask(t, now)
	if silent == outdated || now > minInterval {
		t.Fatalf("%s is asked at %s after an outdated answer", silent, now)
	}
	third, now := f.ask(t, now)
	if third == silent || third == outdated || now > time.Second {
		t.Fatalf("%s is asked at %s after a silent peer", third, now)
	}
	f.Answered(now, third, 0)
	if f.Stale(now + StaleAfter - 1) {
		t.Fatal("stale after a current answer")
	}
}

// Without a current answer, the instance must read the store itself in time to keep the
// bound on the age of configurations.
func TestInstanceIsStaleWithoutCurrentAnswers(t *testing.T) {
	f := New("self", 0)
	f.SetCandidates(candidates(3))
	now := time.Duration(0)
	for now < StaleAfter {
		peer, wait := f.Next(now)
		if peer != "" {
			f.Answered(now, peer, -1)
		}
		now += wait
	}
	if !f.Stale(now) {
		t.Fatal("not stale after answers without a confirmation")
	}
	f.ReadStore(now)
	if f.Stale(now + StaleAfter - 1) {
		t.Fatal("stale after a reading of the store")
	}
}

func TestExpeditedRequestIsSentSoon(t *testing.T) {
	f := New("self", 0)
	f.SetCandidates(candidates(3))
	peer, now := f.ask(t, 0)
	f.Answered(now, peer, 0)
	f.Expedite()
	if _, next := f.ask(t, now); next != now+minInterval {
		t.Fatalf("asked after %s", next-now)
	}
}

// A late answer to an earlier request must not count for the peer that is asked now.
func TestLateAnswerIsIgnored(t *testing.T) {
	f := New("self", 0)
	f.SetCandidates(candidates(3))
	late, now := f.ask(t, 0)
	next, now := f.ask(t, now)
	f.Answered(now, late, 0)
	if peer, at := f.ask(t, now); peer == next && at < now+answerTimeout {
		t.Fatal("the answer of another peer counts")
	}
}

// 3,569 followers of 18 owners: no owner may have more than twice its even share.
func TestFollowersSpreadOverTheCandidates(t *testing.T) {
	followers := map[topology.InstanceID]int{}
	for i := range 3569 {
		f := New(topology.InstanceID(fmt.Sprintf("edge-%d", i)), 0)
		all := candidates(18)
		for j := range all {
			all[j].Local = j%6 == i%6
		}
		f.SetCandidates(all)
		peer, _ := f.Next(0)
		followers[peer]++
	}
	for id, count := range followers {
		if count > 2*3569/18 {
			t.Errorf("%s has %d followers", id, count)
		}
	}
}

// When all instances start within seconds, each followed others that did not watch the store
// either, for four seconds. Meanwhile nobody served.
func TestInstanceThatLacksItsOwnRegistrationReadsTheStoreSoon(t *testing.T) {
	f := New("self", 0)
	f.SetCandidates(candidates(3))
	asked := 0
	now := time.Duration(0)
	f.SetLacksOwn(now, true)
	for ; !f.Stale(now); now += 10 * ms {
		if peer, _ := f.Next(now); peer != "" {
			f.Answered(now, peer, -1)
			asked++
		}
		f.SetLacksOwn(now, true)
	}
	if now > lacksOwnAfter || asked < 2 {
		t.Fatalf("stale after %s, %d peers asked", now, asked)
	}
	f.ReadFailed(now)
	if f.Stale(now + Interval - 1) {
		t.Fatal("the store is read again at once after a failure")
	}
	f.ReadStore(now)
	f.SetLacksOwn(now, true)
	if f.Stale(now + StaleAfter - 1) {
		t.Fatal("the store is read again although it did not have the registration")
	}
	f.SetLacksOwn(now, false)
	if f.SetLacksOwn(now, true); !f.Stale(now + lacksOwnAfter) {
		t.Fatal("not stale after another registration")
	}
}

// An instance that registered again under another lease listed the whole store at once, while a
// peer was being asked, since the last answer was older than the wait.
func TestPeersAreAskedFirstWhenTheOwnRegistrationIsMissing(t *testing.T) {
	f := New("self", 0)
	f.SetCandidates(candidates(18))
	peer, now := f.ask(t, 0)
	f.Answered(now+2*ms, peer, 500*ms)
	now += 900 * ms
	f.SetLacksOwn(now, true)
	if f.Next(now); f.Stale(now) || !f.Stale(now+lacksOwnAfter) {
		t.Error("the store is not read after the peers were asked")
	}
}
