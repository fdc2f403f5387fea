// Package floor keeps the points that the reads of one caller's session have to
// reach, by service, and carries them between instances in a token. It knows
// nothing of the groups: whoever confirms a write or reads an arrival floor
// raises the points.
package floor

import (
	"slices"
	"strings"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Floor is the floor of one session. The zero value has no points. It is used
// by one goroutine at a time.
type Floor struct {
	// entries are sorted by service; a session mostly has one.
	entries []entry
	// token caches the encoding, until a point moves.
	token string
}

type entry struct {
	_       struct{} `cbor:",toarray"`
	Service topology.ServiceID
	Term    topology.Term
	// Position is in the log of Term.
	Position topology.Position
}

func (e entry) point() topology.Point { return topology.Point{Term: e.Term, Position: e.Position} }

// New returns a floor without points.
func New() *Floor { return &Floor{} }

// At returns the point for a service; zero when there is none.
func (f *Floor) At(service topology.ServiceID) topology.Point {
	if i, found := f.find(service); found {
		return f.entries[i].point()
	}
	return topology.Point{}
}

// Raise moves the point for a service up. A lower point changes nothing.
func (f *Floor) Raise(service topology.ServiceID, point topology.Point) {
	i, found := f.find(service)
	if found && f.entries[i].point().Reaches(point) {
		return
	}
	if !found {
		f.entries = slices.Insert(f.entries, i, entry{Service: service})
	}
	f.entries[i].Term = point.Term
	f.entries[i].Position = point.Position
	f.token = ""
}

func (f *Floor) find(service topology.ServiceID) (int, bool) {
	return slices.BinarySearchFunc(f.entries, service, func(e entry, id topology.ServiceID) int {
		return strings.Compare(string(e.Service), string(id))
	})
}
