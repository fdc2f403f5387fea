package daemon

import (
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/topology"
)

// floors holds a session's points by service.
type floors map[topology.ServiceID]topology.Point

// At returns the point for a service.
func (f floors) At(service topology.ServiceID) topology.Point { return f[service] }

// Raise moves a point up.
func (f floors) Raise(service topology.ServiceID, point topology.Point) {
	f[service] = topology.MaxPoint(f[service], point)
}

// Present refuses every token.
func (floors) Present(string) error { return eris.New("tokens are not supported") }

// Token returns none.
func (floors) Token() string { return "" }

// newFloor returns empty floors.
func newFloor() session.Floor { return floors{} }
