package measure

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/load/oracle"
)

func TestSummary(t *testing.T) {
	c := New(2, 1)
	at := func(millis int) time.Duration { return time.Duration(millis) * time.Millisecond }
	c.Add(Sample{Write: true, Outcome: oracle.Confirmed, End: at(100), WithinRate: true})
	c.Add(Sample{Write: true, Outcome: oracle.Confirmed, Arrival: at(1000), Start: at(1500), End: at(1600), WithinRate: true})
	c.Add(Sample{Outcome: oracle.Confirmed, End: at(1700), ReplicaReads: 3, PrimaryReads: 1, WithinRate: true})
	c.Add(Sample{Customer: 1, Outcome: oracle.NotRun, Code: "53400", End: at(1700), WithinRate: true})
	c.Add(Sample{Customer: 1, Outcome: oracle.NotRun, Code: "53400", End: at(1700)})
	c.Add(Sample{Customer: 1, Outcome: oracle.Unknown, Code: "08007", Start: at(1), End: at(2), WithinRate: true})
	got := c.Summary("trial", at(2000))
	if got.ReplicaShare != 0.75 || got.FailoverGapMillis != 1500 || got.Services[0].GapAtMillis != 100 {
		t.Errorf("share %v, gap %v at %v", got.ReplicaShare, got.FailoverGapMillis, got.Services[0].GapAtMillis)
	}
	if got.WorstServed != 1 || got.WrongfulRefusals != 1 || got.Customers[1].ServedShare != 0 {
		t.Errorf("worst %d, wrongful %d", got.WorstServed, got.WrongfulRefusals)
	}
	if p99 := got.Customers[0].P99Millis; p99 < 1699 || p99 > 1702 {
		t.Errorf("p99 %v", p99)
	}
	if spans := c.Spans(0); len(spans) != 3 || spans[1] != (oracle.Span{Start: at(1500), End: at(1600)}) {
		t.Errorf("spans %v", spans)
	}
	if len(got.Refusals) != 2 || got.Refusals[1] != (Refusal{Code: "53400", Outcome: "not run", Count: 2}) {
		t.Errorf("refusals %v", got.Refusals)
	}
}
