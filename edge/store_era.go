package edge

import (
	"bytes"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
)

var (
	eventStoreRestored = event.Define(2110, event.Warning, "store was restored from an older copy")
	eventEntryIgnored  = event.Define(2111, event.Warning, "entry of the store ignored, a later revision of the key is known")
)

// observeEra records the era of a response of the store.
func (d *Daemon) observeEra(newEra store.Era) {
	era := uint64(newEra)
	previous := d.storeEra.Load()
	if era <= previous || !d.storeEra.CompareAndSwap(previous, era) {
		return
	}
	d.mu.Lock()
	loaded, until := d.mirrorLoaded, d.mirroredUntil
	d.mu.Unlock()
	if loaded {
		eventStoreRestored.Log(d.log, "era", era, "previous_era", previous, "mirrored_until", until.String())
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
	eventEntryIgnored.Log(d.log, "key", entry.Key, "revision", entry.Revision.String(), "known_revision", known.Revision.String(), "era", d.storeEra.Load())
}
