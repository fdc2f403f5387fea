package measure

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/load/oracle"
)

func TestSummary(t *testing.T) {
	c := NewCollector(2, 1)
	ms := func(millis int) time.Duration { return time.Duration(millis) * time.Millisecond }
	c.Add(Sample{Write: true, Outcome: oracle.Confirmed, End: ms(100), WithinRate: true})
	c.Add(Sample{Write: true, Outcome: oracle.Confirmed, Arrival: ms(1000), Start: ms(1500), End: ms(1600), WithinRate: true})
	c.Add(Sample{Outcome: oracle.Confirmed, End: ms(1700), ReplicaReads: 3, PrimaryReads: 1, WithinRate: true})
	c.Add(Sample{Customer: 1, Outcome: oracle.NotRun, SQLState: "53400", End: ms(1700), WithinRate: true})
	c.Add(Sample{Customer: 1, Outcome: oracle.NotRun, SQLState: "53400", End: ms(1700)})
	c.Add(Sample{Customer: 1, Outcome: oracle.Unknown, SQLState: "08007", Start: ms(1), End: ms(2), WithinRate: true})
	got := c.Summary("trial", ms(2000))
	if got.ReplicaShare != 0.75 || got.FailoverGapMillis != 1500 || got.Services[0].GapAtMillis != 100 {
		t.Errorf("replica share %v, failover gap %v ms at %v ms", got.ReplicaShare, got.FailoverGapMillis, got.Services[0].GapAtMillis)
	}
	if got.WorstServed != 1 || got.WrongfulRefusals != 1 || got.Customers[1].ServedShare != 0 {
		t.Errorf("worst-served customer %d, wrongful refusals %d", got.WorstServed, got.WrongfulRefusals)
	}
	if p99 := got.Customers[0].P99Millis; p99 < 1699 || p99 > 1702 {
		t.Errorf("99th percentile %v ms", p99)
	}
	if intervals := c.ConfirmedIntervals(0); len(intervals) != 3 || intervals[1] != (oracle.Interval{Start: ms(1500), End: ms(1600)}) {
		t.Errorf("intervals %v", intervals)
	}
	if len(got.Failures) != 2 || got.Failures[1] != (FailureCount{SQLState: "53400", Outcome: "not run", Count: 2}) {
		t.Errorf("failures %v", got.Failures)
	}
}
