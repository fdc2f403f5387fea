package group

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/fixedseed"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TestMain fixes the seed of rapid unless the command line sets one. For a longer run:
// go test ./process/group -run Fuzz -rapid.checks=5000 -rapid.seed=7
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "1", Checks: "100", Steps: "60"})
	os.Exit(m.Run())
}

// maxRecoveryTime is how long after the last fault the group may take to have a primary
// that every instance sees and that can acknowledge writes.
const maxRecoveryTime = 13 * time.Second

// TestFuzzGroup runs random writes, reads and faults against the rounds, promotions and
// transaction resolution of several instances, and checks the oracle's guarantees.
func TestFuzzGroup(t *testing.T) {
	var acknowledged, resolvedCommits, notRun, unknownOutcomes, reads, ageBounds, terms int
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"))
		if rapid.Bool().Draw(rt, "short timeouts") {
			s.shortenTimeouts()
		}
		s.start()
		rt.Repeat(s.actions())
		s.heal()
		s.checkLiveness()
		if len(s.oracle.failures) > 0 {
			rt.Fatal(s.oracle.failures[0])
		}
		acknowledged += len(s.oracle.acknowledged)
		resolvedCommits += s.oracle.resolvedCommits
		notRun += len(s.oracle.notRun)
		unknownOutcomes += s.oracle.unknownOutcomes
		reads += s.oracle.reads
		ageBounds += s.oracle.ageBounds
		terms += len(s.oracle.promotedAt)
	})
	t.Logf("%d acknowledged (%d by resolution), %d not run, %d unknown, %d reads, %d age bounds, %d promotions",
		acknowledged, resolvedCommits, notRun, unknownOutcomes, reads, ageBounds, terms)
}

// shortenTimeouts shortens the timeouts of promotions, so that instances compete to
// promote.
func (s *simulation) shortenTimeouts() {
	p := &s.promotionConfig
	for _, timeout := range []*time.Duration{
		&p.DetectionTimeout, &p.SupportTimeout, &p.StallTimeout, &p.HeadlessTimeout, &p.SplitTimeout, &p.UnsupportedTimeout,
		&p.HandoverDelay, &p.MinHandoverInterval,
		&p.ClaimRetryInterval, &p.MaxClaimWait, &p.RankDelay, &p.RetryBackoff,
	} {
		*timeout /= 20
	}
	p.MinMissedResponses = 1
}

// actions returns the actions among which rapid chooses. Their names are part of what a
// seed means, because rapid sorts the actions by name. The action "" runs between the
// others.
func (s *simulation) actions() map[string]func(*rapid.T) {
	instance := func(rt *rapid.T) *simInstance {
		return s.instances[rapid.IntRange(0, simInstances-1).Draw(rt, "instance")]
	}
	target := func(rt *rapid.T) topology.TargetID {
		return rapid.SampledFrom([]topology.TargetID{"a", "b", "c"}).Draw(rt, "target")
	}
	endpoint := func(rt *rapid.T, name string) string {
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
				s.oracle.write(instance(rt))
			}
		},
		"read":     func(rt *rapid.T) { s.oracle.read(instance(rt)); s.oracle.readOwnWrite(instance(rt)) },
		"readAged": func(rt *rapid.T) { s.oracle.checkAgeBounds(instance(rt)) },
		"cut": func(rt *rapid.T) {
			from, to := endpoint(rt, "from"), endpoint(rt, "to")
			s.cutLinks[from+">"+to] = true
		},
		"isolate": func(rt *rapid.T) { s.isolate(endpoint(rt, "endpoint")) },
		"join":    func(*rapid.T) { clear(s.cutLinks) },
		"stop":    func(rt *rapid.T) { id := target(rt); s.stoppedMembers[id] = !s.stoppedMembers[id] },
		"pause": func(rt *rapid.T) {
			instance(rt).pausedUntil = s.now + time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause"))*time.Millisecond
		},
		"restart": func(rt *rapid.T) { instance(rt).restart() },
		"network": func(rt *rapid.T) {
			s.lossPercent, s.slowPercent, s.duplicatePercent = percent(rt), percent(rt), percent(rt)
		},
		"store": func(*rapid.T) { s.storeUnavailable = !s.storeUnavailable },
		"leave": func(rt *rapid.T) { m := s.group.Member(target(rt)); m.Leaving = !m.Leaving },
		"drop": func(rt *rapid.T) {
			m := s.group.Member(target(rt))
			m.Abort(m.Begin())
		},
	}
}

// isolate cuts an endpoint off from all others.
func (s *simulation) isolate(endpoint string) {
	for _, other := range []string{"a", "b", "c", "i0", "i1", "i2", "i3"} {
		s.cutLinks[endpoint+">"+other] = true
		s.cutLinks[other+">"+endpoint] = true
	}
}

// heal ends every fault except an outage of the store.
func (s *simulation) heal() {
	clear(s.cutLinks)
	clear(s.stoppedMembers)
	s.lossPercent, s.slowPercent, s.duplicatePercent = 0, 0, 0
	for _, instance := range s.instances {
		instance.pausedUntil = min(instance.pausedUntil, s.now)
	}
}

// checkLiveness checks that after maxRecoveryTime every instance sees the same primary
// and can get a write acknowledged, and that every member then has all of the log.
func (s *simulation) checkLiveness() {
	s.advance(maxRecoveryTime)
	primary := s.instances[0].rounds.View().Primary
	acknowledged := len(s.oracle.acknowledged)
	for _, instance := range s.instances {
		if view := instance.rounds.View(); view.Primary == "" || view.Primary != primary {
			s.oracle.failf("instance %d sees primary %q after healing, instance 0 sees %q", instance.index, view.Primary, primary)
		}
		s.oracle.write(instance)
	}
	s.advance(2 * time.Second)
	if got := len(s.oracle.acknowledged) - acknowledged; got < simInstances {
		s.oracle.failf("%d of %d writes acknowledged after healing", got, simInstances)
	}
	s.advance(6 * time.Second)
	for _, m := range s.group.Members {
		s.oracle.checkLog(m, "healed member")
	}
}
