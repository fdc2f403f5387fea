// Package floor holds, for each service, the log point that the reads of a caller's
// session must see, and encodes these points in a session token that other
// instances accept. The code that confirms a write or reads an arrival floor raises
// the points; the package itself does not communicate with the groups.
package floor

import (
	"slices"
	"strings"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Floor holds the points of one session by service. The zero value has none. It is
// used by one goroutine at a time.
type Floor struct {
	// entries are sorted by service. Most sessions have one.
	entries []servicePoint
	// token caches the encoded token; it is empty after a point has changed.
	token string
}

// servicePoint is the point of one service. It is an element of the encoded token.
type servicePoint struct {
	_       struct{} `cbor:",toarray"`
	Service topology.ServiceID
	Term    topology.Term
	// Position is a position in the log of Term.
	Position topology.Position
}

func (p servicePoint) point() topology.Point {
	return topology.Point{Term: p.Term, Position: p.Position}
}

// New returns a floor without points.
func New() *Floor { return &Floor{} }

// Point returns the point for a service, or zero if there is none.
func (f *Floor) Point(service topology.ServiceID) topology.Point {
	if i, found := f.find(service); found {
		return f.entries[i].point()
	}
	return topology.Point{}
}

// Raise raises the point for a service. A lower point has no effect.
func (f *Floor) Raise(service topology.ServiceID, point topology.Point) {
	i, found := f.find(service)
	if found && f.entries[i].point().Reaches(point) {
		return
	}
	if !found {
		f.entries = slices.Insert(f.entries, i, servicePoint{Service: service})
	}
	f.entries[i].Term = point.Term
	f.entries[i].Position = point.Position
	f.token = ""
}

// find returns the index of a service in entries, or the index at which to insert
// it.
func (f *Floor) find(service topology.ServiceID) (int, bool) {
	return slices.BinarySearchFunc(f.entries, service, func(p servicePoint, id topology.ServiceID) int {
		return strings.Compare(string(p.Service), string(id))
	})
}
