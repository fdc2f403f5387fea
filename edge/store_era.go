package edge

import (
	"strconv"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
)

var eventStoreRestored = event.Define(2110, event.Warning, "store was restored from an older copy")

// promotionSettleTime is how long after a restore of the store a promotion that was ordered
// before may still take effect: promotionWindow, the time in which an undelivered request is
// abandoned (500 ms), the promotion itself (600 ms) and a margin.
const promotionSettleTime = promotionWindow + 1200*time.Millisecond

// storeEra is the era of the store as far as this instance knows.
type storeEra struct {
	number store.Era
	// since is when the first response of the era arrived.
	since time.Duration
	known bool
	// restored says that this instance knew the store in an earlier era.
	restored bool
}

// observeEra records the era of a response of the store. After a restore, the instance
// reads the store and registers again. Authority that it has obtained before lasts as long
// as without the restore: the failover leader allows for it.
func (d *Daemon) observeEra(number store.Era) {
	now := d.clock()
	d.mu.Lock()
	previous, until := d.era, d.mirroredUntil
	later := !previous.known || number > previous.number
	if later {
		d.era = storeEra{number: number, since: now, known: true, restored: previous.known}
	}
	if later && previous.known {
		d.noteStoreReturn(now)
	}
	d.mu.Unlock()
	if !later || !previous.known {
		return
	}
	eventStoreRestored.Log(d.log, "era", number, "previous_era", previous.number, "mirrored_until", until.String())
	d.leadership.observeRestore(now, previous.number, number)
	notify(d.roleWake)
	notify(d.usageWake)
	d.wakeFailover()
}

// currentEra returns the era of the store.
func (d *Daemon) currentEra() store.Era {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era.number
}

// settled reports whether the given time has passed since the store was last restored. A
// leader records in the store that authority.FenceWait has passed, for processes that start
// later. The caller holds d.mu.
func (d *Daemon) settled(now, wait time.Duration) bool {
	return d.era.number == 0 || now-d.era.since >= wait || string(d.mirror.Get(keySettledEra).Value) == d.era.text()
}

// text returns the era as the value of keySettledEra.
func (e storeEra) text() string { return strconv.FormatUint(uint64(e.number), 10) }

// settledEraTransaction returns the transaction that records that all authority from before
// the last restore has expired, or false if it has not or this is recorded.
func (d *Daemon) settledEraTransaction() (store.Transaction, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.mirror.Get(keySettledEra)
	if d.era.number == 0 || d.clock()-d.era.since < authority.FenceWait || string(entry.Value) == d.era.text() {
		return store.Transaction{}, false
	}
	return store.Transaction{Expect: []store.Expectation{{Key: keySettledEra, Revision: entry.Revision}},
		Puts: []store.Put{{Key: keySettledEra, Value: []byte(d.era.text())}}}, true
}
