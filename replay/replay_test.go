package replay

import (
	"testing"
	"time"
)

// expectations hold the bounds that the dispatch policy must keep for each pattern: its
// worth, the share of PrimaryOnly requests served in time, how much its worth exceeds the
// baseline's, and the mean time until a refusal.
var expectations = map[string]struct {
	minWorth, minPrimaryShare float64
	minGain                   float64
	maxRefusalTime            time.Duration
}{
	// The targets have the capacity to serve all arrivals in time.
	"steady":       {minWorth: 1, minPrimaryShare: 1},
	"hot customer": {minWorth: 0.999, minPrimaryShare: 0.999},
	"slow replica": {minWorth: 0.999, minPrimaryShare: 0.999},
	"burst":        {minWorth: 0.5, minPrimaryShare: 0.5, minGain: 0.05, maxRefusalTime: replicaObjective / 4},
	// The baseline refuses fewer arrivals and serves more of them late. Callers that are
	// refused immediately could retry while the targets are free, which the pattern does not
	// model.
	"mass return": {minWorth: 0.55, minPrimaryShare: 0.5, minGain: -0.03, maxRefusalTime: replicaObjective / 4},
	// Replicas serve their requests in time although the primary is saturated.
	"primary saturated": {minWorth: 0.45, minPrimaryShare: 0.35, minGain: 0.2, maxRefusalTime: primaryObjective / 2},
	// One in five of the requests of half the time is lost, a tenth of PrimaryOnly ones;
	// the others must be served in time. The baseline counts lost statements as running.
	"lost responses": {minWorth: 0.9, minPrimaryShare: 0.85, minGain: 0.1, maxRefusalTime: requestDeadline},
	// The primary runs PrimaryOnly requests before reads whose floor the replicas lack.
	"lagging replicas": {minWorth: 0.35, minPrimaryShare: 0.8, minGain: 0.15, maxRefusalTime: replicaObjective},
}

// TestDispatchAgainstFIFO guards against changes of the dispatcher that make overload worse
// for callers than a plain queue in order of arrival.
func TestDispatchAgainstFIFO(t *testing.T) {
	patterns, err := Patterns()
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range patterns {
		t.Run(pattern.Name, func(t *testing.T) {
			expected, known := expectations[pattern.Name]
			if !known {
				t.Fatal("the pattern has no expectations")
			}
			result, baseline := Run(pattern, &dispatchPolicy{}), Run(pattern, &fifoPolicy{queueLimit: fifoQueueLimit})
			if result.Worth() < expected.minWorth || result.Kinds[PrimaryOnly].inTimeShare() < expected.minPrimaryShare {
				t.Errorf("worth %.3f, share of PrimaryOnly requests in time %.3f", result.Worth(), result.Kinds[PrimaryOnly].inTimeShare())
			}
			if result.Worth() < baseline.Worth()+expected.minGain {
				t.Errorf("worth %.3f, baseline's worth %.3f", result.Worth(), baseline.Worth())
			}
			if after := result.MeanRefusalTime(); after > expected.maxRefusalTime {
				t.Errorf("mean time until a refusal %s", after)
			}
		})
	}
}

// TestEveryArrivalHasOneOutcome checks that no policy loses an arrival or reports it twice.
func TestEveryArrivalHasOneOutcome(t *testing.T) {
	patterns, err := Patterns()
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range patterns {
		for _, policy := range Policies() {
			r := Run(pattern, policy)
			if got := r.Kinds[0].Arrivals + r.Kinds[1].Arrivals; got != len(pattern.Arrivals) {
				t.Errorf("%s, %s: %d outcomes of %d arrivals", pattern.Name, policy.Name(), got, len(pattern.Arrivals))
			}
		}
	}
}

// TestSaturatedPrimaryLeavesReplicasToReads guards against requests for the saturated
// primary that delay those which replicas can serve.
func TestSaturatedPrimaryLeavesReplicasToReads(t *testing.T) {
	patterns, err := Patterns()
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range patterns {
		if pattern.Name != "primary saturated" {
			continue
		}
		if r := Run(pattern, &dispatchPolicy{}); r.Kinds[ReplicaAllowed].inTimeShare() < 0.99 {
			t.Fatalf("share of ReplicaAllowed requests in time %.3f", r.Kinds[ReplicaAllowed].inTimeShare())
		}
	}
}

func TestReadArrivalsRejectsInvalidRecordings(t *testing.T) {
	for name, content := range map[string]string{
		"a field too few":  "title,a,b,c\n1,k,primary,0\n",
		"a negative time":  "at_ms,customer,needs,floor_age_ms,work_ms\n-1,k,primary,0,4\n",
		"an unknown kind":  "at_ms,customer,needs,floor_age_ms,work_ms\n1,k,both,0,4\n",
		"a time in words":  "at_ms,customer,needs,floor_age_ms,work_ms\nsoon,k,primary,0,4\n",
		"an unclosed text": "at_ms,customer,needs,floor_age_ms,work_ms\n1,\"k,primary,0,4\n",
	} {
		if _, err := ReadArrivals([]byte(content)); err == nil {
			t.Errorf("accepted a recording with %s", name)
		}
	}
}
