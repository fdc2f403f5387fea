package membership

import "slices"

// equal reports whether two views have the same content.
func (v *View) equal(other *View) bool {
	return slices.Equal(v.Live, other.Live) &&
		slices.Equal(v.Peers, other.Peers) &&
		slices.Equal(v.Holders, other.Holders) &&
		slices.Equal(v.SlotLeases, other.SlotLeases) &&
		slices.Equal(v.Removed, other.Removed)
}

// hasLease reports whether the view has a lease on the same slot in the same
// epoch.
func (v *View) hasLease(lease SlotLease) bool {
	return slices.ContainsFunc(v.SlotLeases, func(held SlotLease) bool {
		return held.Index == lease.Index && held.Epoch == lease.Epoch
	})
}
