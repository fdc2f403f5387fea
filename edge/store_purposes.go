package edge

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
)

// Purposes of the daemon's calls to the store.
const (
	purposeLoad       store.Purpose = "load"
	purposeWatch      store.Purpose = "watch"
	purposeConfirm    store.Purpose = "confirm"
	purposeRegister   store.Purpose = "register"
	purposeUsage      store.Purpose = "usage"
	purposeRelist     store.Purpose = "relist"
	purposeFenceAck   store.Purpose = "fence_ack"
	purposeSuspicion  store.Purpose = "suspicion"
	purposeLeadership store.Purpose = "leadership"
	purposeFailover   store.Purpose = "failover"
)

var eventStoreCalls = event.Define(2108, event.Info, "calls to the store since the last such line")

// callSummaryInterval is the interval between log lines with the calls to the store.
const callSummaryInterval = 10 * time.Second

// storeCall is a kind of call to the store and its outcome; status zero means that no
// response arrived.
type storeCall struct {
	purpose store.Purpose
	call    string
	status  int
}

// callCounts counts the calls to the store since the last summary. It is safe for
// concurrent use.
type callCounts struct {
	mu     sync.Mutex
	counts map[storeCall]int
}

func (c *callCounts) add(call storeCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[storeCall]int)
	}
	c.counts[call]++
}

// take returns the counts as text, such as "confirm transact 200: 7, watch watch 410: 1",
// and starts again from zero. The text is empty if there were no calls.
func (c *callCounts) take() string {
	c.mu.Lock()
	counts := c.counts
	c.counts = nil
	c.mu.Unlock()
	calls := slices.SortedFunc(maps.Keys(counts), func(a, b storeCall) int {
		return cmp.Or(cmp.Compare(a.purpose, b.purpose), cmp.Compare(a.call, b.call), cmp.Compare(a.status, b.status))
	})
	parts := make([]string, 0, len(calls))
	for _, call := range calls {
		parts = append(parts, fmt.Sprintf("%s %s %d: %d", call.purpose, call.call, call.status, counts[call]))
	}
	return strings.Join(parts, ", ")
}

// countStoreCall counts a call to the store in the metrics and in the next summary.
func (d *Daemon) countStoreCall(purpose store.Purpose, call string, status int) {
	d.metrics.countStoreCall(purpose, call, status)
	d.calls.add(storeCall{purpose: purpose, call: call, status: status})
}

// summarizeCalls logs the calls to the store periodically.
func (d *Daemon) summarizeCalls(ctx context.Context) error {
	for sleep(ctx, callSummaryInterval) {
		if calls := d.calls.take(); calls != "" {
			eventStoreCalls.Log(d.log, "calls", calls)
		}
	}
	return nil
}
