package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

// accountant is an instance of a drawn fleet, with a clock of its own.
type accountant struct {
	grants      Grants
	clockOffset time.Duration
}

// delivery is a report on its way.
type delivery struct {
	from, to topology.InstanceID
	report   Report
}

// Grants and shares together never exceed the limit, whichever messages are lost or late and
// whichever processes start again.
func TestSharesWithGrantsNeverExceedTheLimit(t *testing.T) {
	const customer = "k"
	ids := []topology.InstanceID{"a", "b", "c"}
	base := map[topology.CustomerID]float64{customer: 1.0 / 3}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		fleet := make(map[topology.InstanceID]*accountant)
		for n, id := range ids {
			fleet[id] = &accountant{clockOffset: time.Duration(n*n) * time.Minute, grants: Grants{Incarnation: 1}}
		}
		setPeers := func() {
			for _, id := range ids {
				peers := make(map[topology.InstanceID]int64)
				for _, other := range ids {
					if other != id {
						peers[other] = fleet[other].grants.Incarnation
					}
				}
				fleet[id].grants.SetPeers(peers)
			}
		}
		setPeers()
		report := func(t *rapid.T, from, to topology.InstanceID) delivery {
			now += time.Millisecond
			a := fleet[from]
			at := now + a.clockOffset
			wanted := map[topology.CustomerID]float64{customer: rapid.Float64Range(0, 0.5).Draw(t, "fraction")}
			return delivery{from, to, Report{SentAt: at, Incarnation: a.grants.Incarnation, Grant: a.grants.Give(at, to, wanted, base)}}
		}
		deliver := func(d delivery) {
			to := fleet[d.to]
			to.grants.Observe(now+to.clockOffset, d.from, d.report)
		}
		var sent []delivery
		anyID := rapid.SampledFrom(ids)
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond
			},
			"report": func(t *rapid.T) {
				if from, to := anyID.Draw(t, "from"), anyID.Draw(t, "to"); from != to {
					sent = append(sent, report(t, from, to))
				}
			},
			"exchange of reports": func(t *rapid.T) {
				from, to := anyID.Draw(t, "from"), anyID.Draw(t, "to")
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					if from != to {
						deliver(report(t, from, to))
						from, to = to, from
					}
				}
			},
			"delivery": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing is on its way") // rapid draws another action
				}
				n := rapid.IntRange(0, len(sent)-1).Draw(t, "number")
				deliver(sent[n])
				sent = append(sent[:n:n], sent[n+1:]...)
			},
			"restart": func(t *rapid.T) {
				a := fleet[anyID.Draw(t, "instance")]
				a.grants = Grants{Incarnation: a.grants.Incarnation + 1}
				setPeers()
			},
			"": func(t *rapid.T) {
				sum := 0.0
				for _, id := range ids {
					a := fleet[id]
					at := now + a.clockOffset
					sum += max(0, base[customer]-a.grants.Granted(at, customer))
					for _, other := range ids {
						sum += a.grants.Held(at, other, customer)
					}
				}
				if sum > 1+1e-9 {
					t.Fatalf("the shares add up to %v", sum)
				}
			},
		})
	})
}

func TestGrantEndsByItselfBeforeTheGrantorUsesItAgain(t *testing.T) {
	base := map[topology.CustomerID]float64{"k": 0.5}
	grantor, holder := Grants{Incarnation: 1}, Grants{Incarnation: 1}
	grantor.SetPeers(map[topology.InstanceID]int64{"holder": 1})
	holder.SetPeers(map[topology.InstanceID]int64{"grantor": 1})
	const start, delay = time.Minute, 50 * time.Millisecond
	if grantor.Give(start, "holder", base, base) != nil {
		t.Fatal("a grant without a report to answer")
	}
	grantor.Observe(start+delay, "holder", Report{SentAt: start, Incarnation: 1})
	grant := grantor.Give(start+delay, "holder", base, base)
	holder.Observe(start+2*delay, "grantor", Report{SentAt: start + delay, Incarnation: 1, Grant: grant})
	for at := start + 2*delay; at < start+10*time.Second; at += delay {
		held, granted := holder.Held(at, "grantor", "k"), grantor.Granted(at, "k")
		if held > granted || (held > 0) != (at < start+grantTTL) || (granted > 0) != (at < start+delay+grantTTL+grantMargin) {
			t.Fatalf("after %v %v is held, %v granted", at-start, held, granted)
		}
	}
	if !holder.EndedBetween(start, start+grantTTL) || holder.EndedBetween(start, start+grantTTL-1) {
		t.Fatal("the end of the grant is not reported")
	}
}
