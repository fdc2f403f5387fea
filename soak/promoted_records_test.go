package soak

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
	"samphirehitch.example/samphirehitch/process/failover"
)

// at returns a time of a test's history.
func at(milliseconds int) time.Time {
	return time.Unix(1, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

func TestCheckerReportsRecordsOfLowerTerms(t *testing.T) {
	unfenced := failover.Record{Primary: "s-2", Term: 2}
	fenced := unfenced
	fenced.Fenced = true
	successor := failover.Record{Primary: "s-3", Term: 3}
	for name, c := range map[string]struct {
		records []publishedRecord
		want    int
	}{
		"fenced when promoted":  {[]publishedRecord{{unfenced, at(0), at(50)}, {fenced, at(50), at(200)}, {Record: successor, from: at(200)}}, 0},
		"in force":              {[]publishedRecord{{Record: unfenced, from: at(50)}}, 1},
		"replaced later":        {[]publishedRecord{{unfenced, at(50), at(150)}, {Record: successor, from: at(150)}}, 1},
		"published later":       {[]publishedRecord{{fenced, at(50), at(150)}, {Record: unfenced, from: at(150)}}, 1},
		"of the later term":     {[]publishedRecord{{fenced, at(50), at(150)}, {Record: failover.Record{Primary: "s-1", Term: 4}, from: at(150)}}, 0},
		"deleted, then unnamed": {[]publishedRecord{{unfenced, at(0), at(60)}, {Record: failover.Record{Fenced: true}, from: at(60)}}, 0},
	} {
		promotions := []platformtest.Promotion{{Member: "s-3", Term: 3, OrderedAt: at(10), At: at(100)}}
		if got := checkRecords("s", promotions, c.records); len(got) != c.want {
			t.Errorf("%s: %d violations, want %d: %q", name, len(got), c.want, got)
		}
	}
}

// A member commits d1 after another one was promoted. It is excused only soon after a
// suspension or a fault of the network.
func TestCheckerReportsCommitsAtAReplacedPrimary(t *testing.T) {
	g, err := platformtest.StartGroup("s", 2, 3, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	replaced, successor := g.Members()[0], g.Members()[1]
	conn, response, err := platformtest.DialCaller(replaced.Address(), "s", "miller", responseTimeout)
	if err != nil || !response.OK() {
		t.Fatalf("connect to the target: %v, response %+v", err, response)
	}
	defer conn.Close()
	replaced.SetIsolated(true)
	g.Promote(successor.ID, 1)
	for g.CurrentPrimary() != successor {
		time.Sleep(time.Millisecond)
	}
	h := newHistory()
	if response, err := conn.Do("id", platformtest.WriteText("a", "d1"), responseTimeout); err != nil || !response.OK() {
		t.Fatalf("write: %v, response %+v", err, response)
	}
	h.addWrite(writeAttempt{data: "d1", acknowledged: true, at: time.Now()})
	committedAt := g.Committed()[0].At
	for name, c := range map[string]struct {
		disturbedAt time.Time
		want        bool
	}{
		"undisturbed":       {committedAt.Add(-time.Hour), true},
		"disturbed":         {committedAt.Add(-resumeTolerance), false},
		"disturbed earlier": {committedAt.Add(-resumeTolerance - time.Nanosecond), true},
		"disturbed later":   {committedAt.Add(time.Nanosecond), true},
	} {
		h.disturbances = []time.Time{c.disturbedAt}
		found := false
		for _, violation := range h.check([]*platformtest.Group{g}) {
			found = found || violation == "ONE: d1 was committed at a replaced primary and acknowledged"
		}
		if found != c.want {
			t.Errorf("%s: reported %v, want %v", name, found, c.want)
		}
	}
}
