package edge

import (
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/topology"
)

// addDeclaredLoss adds to a service's view the operator's declaration of lost databases. One that
// cannot be read or cannot hold is reported, and what was accepted before stays. The caller holds
// d.mu.
func (d *Daemon) addDeclaredLoss(service topology.ServiceID, view *failover.View) {
	entry := d.mirror.Get(lostKey(service))
	if entry.Revision == 0 {
		return
	}
	if entry.Malformed != "" {
		d.noteUnreadable(entry, eris.New(entry.Malformed))
		return
	}
	declared, err := failover.DecodeLossDeclaration(entry.Value)
	if err != nil {
		d.noteUnreadable(entry, err)
		return
	}
	view.Declared, view.DeclaredAt = declared, entry.Revision
}
