package edge

import (
	"bytes"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
)

var (
	eventStoreRestored = event.Define(2110, event.Warning, "store was restored from an older copy")
	eventEntryIgnored  = event.Define(2111, event.Warning, "entry of the store ignored, a later revision of the key is known")
	eventConfigIgnored = event.Define(2112, event.Info, "configuration ignored, its version is not above the one in force")
)

// observeEra records the era of a response of the store.
func (d *Daemon) observeEra(era uint64) {
	previous := d.storeEra.Load()
	if era <= previous || !d.storeEra.CompareAndSwap(previous, era) {
		return
	}
	d.mu.Lock()
	loaded, until := d.mirrorLoaded, d.mirroredUntil
	d.mu.Unlock()
	if loaded {
		eventStoreRestored.Log(d.log, "era", era, "previous_era", previous, "mirrored_until", until)
	}
}

// logIgnored logs an entry that the mirror did not apply although its value differs from
// the mirrored one. The caller holds d.mu.
func (d *Daemon) logIgnored(entry store.Entry) {
	known := d.mirror.Get(entry.Key)
	if known.Revision == 0 || bytes.Equal(known.Value, entry.Value) {
		return
	}
	d.metrics.ignoredEntries.Inc()
	eventEntryIgnored.Log(d.log, "key", entry.Key, "revision", entry.Revision, "known_revision", known.Revision, "era", d.storeEra.Load())
}
