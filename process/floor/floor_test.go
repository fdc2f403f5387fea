package floor

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

func pointAt(term topology.Term, position topology.Position) topology.Point {
	return topology.Point{Term: term, Position: position}
}

func TestOldestSinceReturnsTheFirstRecentSample(t *testing.T) {
	var h History
	for i := range 20 {
		h.Observe(time.Duration(i)*100*time.Millisecond, pointAt(1, topology.Position(i+1)))
	}
	if s, found := h.OldestSince(450 * time.Millisecond); !found || s.At != 500*time.Millisecond || s.Point != pointAt(1, 6) {
		t.Fatalf("got %+v, %v, want point 1/6 at 500ms", s, found)
	}
	if _, found := h.OldestSince(2 * time.Second); found {
		t.Fatal("returned a sample older than the requested time")
	}
}

func TestHigherTermDiscardsEarlierSamples(t *testing.T) {
	var h History
	h.Observe(time.Second, pointAt(1, 100))
	h.Observe(2*time.Second, pointAt(2, 90))
	h.Observe(3*time.Second, pointAt(1, 101))
	if s, _ := h.Latest(); s.Point != pointAt(2, 90) {
		t.Fatalf("latest sample is %+v, want point 2/90", s)
	}
	if s, found := h.OldestSince(0); !found || s.Point != pointAt(2, 90) {
		t.Fatalf("oldest sample is %+v, want point 2/90", s)
	}
	h.Reset()
	if _, found := h.OldestSince(0); found {
		t.Fatal("a sample survived Reset")
	}
}

// A read served at the returned sample must see every commit acknowledged before
// the requested time, although History retains only some of the observed
// responses.
func TestSamplesNeverClaimMoreThanWasSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		type response struct {
			at       time.Duration
			position topology.Position
		}
		var responses []response
		now, position := time.Duration(0), topology.Position(1)
		for range rapid.IntRange(1, 200).Draw(t, "responses") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond
			position += topology.Position(rapid.IntRange(0, 3).Draw(t, "commits"))
			h.Observe(now, pointAt(1, position))
			responses = append(responses, response{now, position})
		}
		notBefore := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "staleness"))*time.Millisecond
		s, found := h.OldestSince(notBefore)
		if !found {
			return
		}
		// Of two responses to requests sent at the same time either is a valid sample:
		// the one with the shorter log shows that the additional commits of the other
		// were acknowledged later.
		for _, r := range responses {
			if r.at <= notBefore && r.at < s.At && r.position > s.Point.Position {
				t.Fatalf("sample %+v misses position %d of %s", s, r.position, r.at)
			}
		}
	})
}
