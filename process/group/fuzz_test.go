package group

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/fixedseed"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TestMain fixes the seed of rapid, unless the command line sets it. A longer
// run: go test ./process/group -run Fuzz -rapid.checks=5000 -rapid.seed=7.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1", Checks: "100", Steps: "60"})
	os.Exit(m.Run())
}

// healLimit is how long after the last fault a group may take to have a primary
// that every daemon sees and that acknowledges.
const healLimit = 13 * time.Second

// TestFuzzGroup drives rounds, promotion and resolution of several daemons
// through faults and checks the oracle.
func TestFuzzGroup(t *testing.T) {
	var acks, resolved, notRun, unknown, reads, aged, terms int
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"))
		if rapid.Bool().Draw(rt, "hasty") {
			s.hasten()
		}
		s.start()
		rt.Repeat(s.actions())
		s.heal()
		s.checkLiveness()
		if len(s.oracle.failures) > 0 {
			rt.Fatal(s.oracle.failures[0])
		}
		acks += len(s.oracle.acks)
		resolved += s.oracle.resolved
		notRun += len(s.oracle.notRun)
		unknown += s.oracle.unknown
		reads += s.oracle.reads
		aged += s.oracle.aged
		terms += len(s.oracle.promotedAt)
	})
	t.Logf("%d acknowledged (%d by resolution), %d not run, %d unknown, %d reads, %d aged, %d promotions",
		acks, resolved, notRun, unknown, reads, aged, terms)
}

// hasten shortens every patience, so that daemons duel.
func (s *sim) hasten() {
	p := &s.promotion
	for _, d := range []*time.Duration{
		&p.DetectionTimeout, &p.SupportTimeout, &p.StallTimeout, &p.HeadlessTimeout, &p.SplitTimeout, &p.UnsupportedTimeout,
		&p.HandoverDelay, &p.MinHandoverInterval,
		&p.ClaimRetryInterval, &p.MaxClaimWait, &p.RankDelay, &p.RetryBackoff,
	} {
		*d /= 20
	}
	p.MinMissedResponses = 1
}

func (s *sim) actions() map[string]func(*rapid.T) {
	daemon := func(rt *rapid.T) *simDaemon {
		return s.daemons[rapid.IntRange(0, simDaemons-1).Draw(rt, "daemon")]
	}
	target := func(rt *rapid.T) topology.TargetID {
		return rapid.SampledFrom([]topology.TargetID{"a", "b", "c"}).Draw(rt, "target")
	}
	place := func(rt *rapid.T, name string) string {
		return rapid.SampledFrom([]string{"a", "b", "c", "i0", "i1", "i2", "i3"}).Draw(rt, name)
	}
	percent := func(rt *rapid.T) int { return rapid.IntRange(0, 30).Draw(rt, "percent") }
	return map[string]func(*rapid.T){
		"": func(rt *rapid.T) {
			if len(s.oracle.failures) > 0 {
				rt.Fatal(s.oracle.failures[0])
			}
			s.advance(time.Duration(rapid.IntRange(1, 200).Draw(rt, "millis")) * time.Millisecond)
		},
		"advance": func(rt *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
		},
		"write": func(rt *rapid.T) {
			for range rapid.IntRange(1, 5).Draw(rt, "writes") {
				s.oracle.write(daemon(rt))
			}
		},
		"read":     func(rt *rapid.T) { s.oracle.read(daemon(rt)); s.oracle.readOwn(daemon(rt)) },
		"readAged": func(rt *rapid.T) { s.oracle.readAged(daemon(rt)) },
		"cut": func(rt *rapid.T) {
			from, to := place(rt, "from"), place(rt, "to")
			s.cut[from+">"+to] = true
		},
		"isolate": func(rt *rapid.T) { s.isolate(place(rt, "place")) },
		"join":    func(*rapid.T) { clear(s.cut) },
		"stop":    func(rt *rapid.T) { id := target(rt); s.stopped[id] = !s.stopped[id] },
		"pause": func(rt *rapid.T) {
			daemon(rt).pausedUntil = s.now + time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause"))*time.Millisecond
		},
		"restart": func(rt *rapid.T) { daemon(rt).restart() },
		"network": func(rt *rapid.T) { s.lossy, s.slow, s.doubled = percent(rt), percent(rt), percent(rt) },
		"store":   func(*rapid.T) { s.storeDown = !s.storeDown },
		"leave":   func(rt *rapid.T) { m := s.group.Member(target(rt)); m.Leaving = !m.Leaving },
		"drop": func(rt *rapid.T) {
			m := s.group.Member(target(rt))
			m.Abort(m.Begin())
		},
	}
}

// isolate cuts a place off from all others.
func (s *sim) isolate(place string) {
	for _, other := range []string{"a", "b", "c", "i0", "i1", "i2", "i3"} {
		s.cut[place+">"+other] = true
		s.cut[other+">"+place] = true
	}
}

// heal ends every fault but a store outage.
func (s *sim) heal() {
	clear(s.cut)
	clear(s.stopped)
	s.lossy, s.slow, s.doubled = 0, 0, 0
	for _, d := range s.daemons {
		d.pausedUntil = min(d.pausedUntil, s.now)
	}
}

// checkLiveness expects, within healLimit, one primary in every daemon's view, a
// write acknowledged through each, and the whole group with one log.
func (s *sim) checkLiveness() {
	s.advance(healLimit)
	primary := s.daemons[0].rounds.View().Primary
	acks := len(s.oracle.acks)
	for _, d := range s.daemons {
		if view := d.rounds.View(); view.Primary == "" || view.Primary != primary {
			s.oracle.failf("daemon %d sees primary %q after healing, daemon 0 %q", d.index, view.Primary, primary)
		}
		s.oracle.write(d)
	}
	s.advance(2 * time.Second)
	if got := len(s.oracle.acks) - acks; got < simDaemons {
		s.oracle.failf("%d of %d writes acknowledged after healing", got, simDaemons)
	}
	s.advance(6 * time.Second)
	for _, m := range s.group.Members {
		s.oracle.checkLog(m, "healed member")
	}
}
