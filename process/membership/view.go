package membership

import "slices"

// equal reports whether two views say the same.
func (v *View) equal(other *View) bool {
	return slices.Equal(v.Live, other.Live) &&
		slices.Equal(v.Holders, other.Holders) &&
		slices.Equal(v.Rights, other.Rights) &&
		slices.Equal(v.Gone, other.Gone)
}

// hasRight reports whether the view holds a slot in an epoch.
func (v *View) hasRight(right Right) bool {
	return slices.ContainsFunc(v.Rights, func(r Right) bool {
		return r.Index == right.Index && r.Epoch == right.Epoch
	})
}
