package group

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// maxFrontiers is the maximum number of frontiers in a view.
	maxFrontiers = 64
	// minFrontierSpacing is the minimum time between two frontiers.
	minFrontierSpacing = 10 * time.Millisecond
)

// frontiers holds recent majority points, oldest first. They are close together in
// time where they are recent and further apart where they are old. The entries slice
// is never modified, only replaced, because views share it.
type frontiers struct {
	entries []Frontier
}

// add appends a frontier, unless it is less than minFrontierSpacing after the newest
// one. It drops older frontiers whose points are not before the new point: the new
// frontier gives a tighter bound.
func (f *frontiers) add(frontier Frontier) {
	keep := len(f.entries)
	if keep > 0 && frontier.Time < f.entries[keep-1].Time+minFrontierSpacing {
		return
	}
	for keep > 0 && f.entries[keep-1].Point.Reaches(frontier.Point) {
		keep--
	}
	entries := make([]Frontier, 0, keep+1)
	entries = append(entries, f.entries[:keep]...)
	entries = append(entries, frontier)
	if len(entries) > maxFrontiers {
		entries = removeMostRedundant(entries)
	}
	f.entries = entries
}

// removeMostRedundant removes the entry whose neighbors are closest together relative
// to its age, so that the error of an age bound stays proportional to the age. The
// oldest and the newest entry stay.
func removeMostRedundant(entries []Frontier) []Frontier {
	newest := entries[len(entries)-1].Time
	removeAt, minRatio := 1, -1.0
	for i := 1; i < len(entries)-1; i++ {
		gap := float64(entries[i+1].Time - entries[i-1].Time)
		age := float64(newest-entries[i].Time) + float64(minFrontierSpacing)
		if ratio := gap / age; minRatio < 0 || ratio < minRatio {
			removeAt, minRatio = i, ratio
		}
	}
	return append(entries[:removeAt], entries[removeAt+1:]...)
}

// advanceFrontier adds the frontier of the members' last responses. Its time is when
// the oldest request of the most recent majority of responses was sent: each write
// acknowledged before that time is held by a member of that majority.
func (r *Rounds) advanceFrontier(now time.Duration) {
	since, ok := r.majoritySince()
	if !ok || since > now {
		return
	}
	r.scratchPoints = r.scratchPoints[:0]
	for i := range r.members {
		if m := &r.members[i]; m.hasStatus && m.statusRequestedAt >= since {
			r.scratchPoints = append(r.scratchPoints, m.status.Received)
		}
	}
	if point, ok := majorityPoint(r.scratchPoints, r.majoritySize()); ok {
		r.frontiers.add(Frontier{Time: since, Point: point})
	}
}

// majoritySince returns the latest time such that the last responses of a majority were
// requested at that time or later, or false if fewer members than a majority have
// responded.
func (r *Rounds) majoritySince() (time.Duration, bool) {
	var since time.Duration
	found := false
	for i := range r.members {
		candidate := &r.members[i]
		if !candidate.hasStatus {
			continue
		}
		count := 0
		for j := range r.members {
			if m := &r.members[j]; m.hasStatus && m.statusRequestedAt >= candidate.statusRequestedAt {
				count++
			}
		}
		if count >= r.majoritySize() && (!found || candidate.statusRequestedAt > since) {
			since, found = candidate.statusRequestedAt, true
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
