package edge

import (
	"maps"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
)

var eventEntryUnreadable = event.Define(2105, event.Warning, "cannot decode entry of the store, it is ignored")

// isUnreadable reports whether an entry is known to be unreadable at its revision. The
// caller holds d.mu.
func (d *Daemon) isUnreadable(entry store.Entry) bool {
	revision, known := d.unreadable[entry.Key]
	return known && revision == entry.Revision
}

// noteUnreadable logs and counts an entry that cannot be decoded, once per revision. The
// caller holds d.mu.
func (d *Daemon) noteUnreadable(entry store.Entry, err error) {
	if d.isUnreadable(entry) {
		return
	}
	d.unreadable[entry.Key] = entry.Revision
	d.metrics.unreadableEntries.Inc()
	eventEntryUnreadable.LogError(d.log, err, "key", entry.Key, "revision", entry.Revision.String())
}

// forgetUnreadable forgets the unreadable entries that are no longer mirrored. The caller
// holds d.mu.
func (d *Daemon) forgetUnreadable() {
	maps.DeleteFunc(d.unreadable, func(key string, revision store.Revision) bool { return d.mirror.Get(key).Revision != revision })
}
