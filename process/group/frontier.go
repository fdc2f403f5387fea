package group

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// maxFrontiers bounds the frontiers that a view carries.
	maxFrontiers = 64
	// frontierSpacing is the least interval between two frontiers.
	frontierSpacing = 10 * time.Millisecond
)

// frontiers keeps recent majority points, oldest first, dense for young ages and
// sparse for old ones. Entries is replaced rather than changed, since views
// share it.
type frontiers struct {
	entries []Frontier
}

// add appends a frontier. Older ones that do not lie before its point bound
// nothing more tightly and go.
func (f *frontiers) add(frontier Frontier) {
	keep := len(f.entries)
	if keep > 0 && frontier.Time < f.entries[keep-1].Time+frontierSpacing {
		return
	}
	for keep > 0 && f.entries[keep-1].Point.Reaches(frontier.Point) {
		keep--
	}
	entries := make([]Frontier, 0, keep+1)
	entries = append(entries, f.entries[:keep]...)
	entries = append(entries, frontier)
	if len(entries) > maxFrontiers {
		entries = thin(entries)
	}
	f.entries = entries
}

// thin removes the entry whose neighbours lie closest together in proportion to
// its age, so that the error of an age bound stays in proportion to the age.
func thin(entries []Frontier) []Frontier {
	newest := entries[len(entries)-1].Time
	victim, least := 1, -1.0
	for i := 1; i < len(entries)-1; i++ {
		gap := float64(entries[i+1].Time - entries[i-1].Time)
		age := float64(newest-entries[i].Time) + float64(frontierSpacing)
		if ratio := gap / age; least < 0 || ratio < least {
			victim, least = i, ratio
		}
	}
	return append(entries[:victim], entries[victim+1:]...)
}

// advanceFrontier adds the frontier of the members' last answers. Its time is
// when the oldest request among the youngest majority of answers was sent: what
// was acknowledged before then is held by a member of that majority.
func (r *Rounds) advanceFrontier(now time.Duration) {
	since, ok := r.majoritySince()
	if !ok || since > now {
		return
	}
	r.points = r.points[:0]
	for i := range r.members {
		if m := &r.members[i]; m.known && m.answeredAt >= since {
			r.points = append(r.points, m.status.Received)
		}
	}
	if point, ok := majorityPoint(r.points, r.majority()); ok {
		r.frontiers.add(Frontier{Time: since, Point: point})
	}
}

// majoritySince returns the latest time since which a majority was asked and
// answered.
func (r *Rounds) majoritySince() (time.Duration, bool) {
	var since time.Duration
	found := false
	for i := range r.members {
		candidate := &r.members[i]
		if !candidate.known {
			continue
		}
		count := 0
		for j := range r.members {
			if m := &r.members[j]; m.known && m.answeredAt >= candidate.answeredAt {
				count++
			}
		}
		if count >= r.majority() && (!found || candidate.answeredAt > since) {
			since, found = candidate.answeredAt, true
		}
	}
	return since, found
}

// Floor returns the newest frontier's point, or false when there is none.
func (v *View) Floor() (topology.Point, bool) {
	if len(v.Frontiers) == 0 {
		return topology.Point{}, false
	}
	return v.Frontiers[len(v.Frontiers)-1].Point, true
}
