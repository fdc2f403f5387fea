package failover

import "time"

// quietInterval is the least time by which a leader extends the QuietFor of an order. It is below a
// round of status requests to a silent target, so that a leader which lasts for one counts, and
// leads to few writes before the order settles.
const quietInterval = orderSettleTime / 8

// quietSince returns since when no request for the promotion that the record names can have been
// under way, on this instance's clock; requested is not set if none was ever sent.
//
// A request is sent only under a record that its leader has written without QuietFor, and only until
// the next leader begins. So once a record with QuietFor is written, however late that took effect,
// the requests had ended QuietFor before, and none follows until it is written anew. An instance sees
// the record after its write and counts on by its own clock. If the record is outdated, a decision
// fails, since it is a write on the condition of the record's revision; one that a restore of the
// store has brought back loses its QuietFor when it is verified.
func (o *orders) quietSince(v View) (since time.Duration, requested bool) {
	if !v.Record.Order.same(o.own) {
		since, requested = o.ledSince, true
		if quiet := v.Record.Order.QuietFor; quiet > 0 {
			since = min(since, v.RecordSeenAt-quiet)
		}
	}
	if o.accepted+o.unanswered > 0 {
		since, requested = max(since, o.endedAt), true
	}
	return since, requested
}

// settled reports whether no request for the promotion that the record names can take effect
// any more.
func (o *orders) settled(now time.Duration, v View) bool {
	if v.Record.Order == nil {
		return true
	}
	since, requested := o.quietSince(v)
	return !requested || now >= since+orderSettleTime
}

// extendQuiet returns the record's order with its present QuietFor, and whether that is worth a
// write of its own. The first one is: from then on, all instances that see the record count.
func (o *orders) extendQuiet(now time.Duration, v View) (extended *Order, due bool) {
	if v.Record.Order == nil {
		return nil, false
	}
	since, requested := o.quietSince(v)
	recorded, quiet := v.Record.Order.QuietFor, min(now-since, orderSettleTime)
	if !requested || quiet <= recorded {
		return v.Record.Order, false
	}
	order := *v.Record.Order
	order.QuietFor = quiet
	return &order, recorded == 0 || quiet >= recorded+quietInterval || quiet == orderSettleTime
}

// withoutQuiet returns the record as it counts after a restore of the store: requests may have been
// sent under a later one that the restore has lost.
func (r Record) withoutQuiet() Record {
	if r.Order != nil {
		order := *r.Order
		order.QuietFor = 0
		r.Order = &order
	}
	return r
}
