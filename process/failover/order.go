package failover

import (
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// orderSettleTime is how long after the end of a promotion request, or the begin of the
// leadership for requests of earlier leaders, the promotion may still take effect: the time in
// which an undelivered request is abandoned (500 ms), the promotion itself (600 ms) and as much
// again for a platform that is slow.
const orderSettleTime = 2 * time.Second

// Order is a promotion that a leader may have requested. The platform does not check fencing
// tokens, and a promotion takes effect some time after the response to its request, or
// without one, whoever leads by then. The order is therefore written to the service's record
// before the request is sent. Until it has settled, no other target is promoted, and
// no other primary is used.
type Order struct {
	Successor topology.TargetID `json:"successor"`
	// Incarnation is the successor's when it was chosen, and Received the end of its log.
	Incarnation int64          `json:"incarnation,omitempty"`
	Received    topology.Point `json:"received"`
	// LedTerm is the term that the successor led when it was chosen, zero if it was a replica.
	LedTerm topology.Term `json:"led_term,omitempty"`
	// AfterAnother says that the promotion of another target was ordered before under the same
	// fence, and may have taken effect.
	AfterAnother bool `json:"after_another,omitempty"`
	// QuietFor is for how long, at least, no request had been under way when the record was
	// written. While it is set, none is sent before the record is written without it.
	QuietFor time.Duration `json:"quiet_for,omitempty"`
}

// names reports whether the order is one for a target's present process. There may be no order.
func (o *Order) names(t directory.Target) bool {
	return o != nil && o.Successor == t.ID && o.Incarnation == t.Incarnation
}

// same reports whether two orders are one, however long it has been quiet.
func (o Order) same(other Order) bool {
	o.QuietFor, other.QuietFor = 0, 0
	return o == other
}

// orders is what a leader knows of the requests for the promotion that the record names.
type orders struct {
	// ledSince is when this leader's first step ran, while leads is set. Earlier leaders have
	// sent their requests before.
	ledSince time.Duration
	leads    bool
	// own is the order that this leader has written last.
	own Order
	// written is the order in the record that this leader wrote last, nil if that write failed.
	written *Order
	// accepted is the number of requests that the platform has accepted since then, unanswered
	// that of requests without a response, and endedAt when the last of them ended.
	accepted, unanswered int
	endedAt              time.Duration
}

// begin notes that this leader leads.
func (o *orders) begin(now time.Duration) {
	if !o.leads {
		o.leads, o.ledSince = true, now
	}
}

// write notes that an order is written to the record in place of one that has settled.
func (o *orders) write(order Order) {
	o.own, o.accepted, o.unanswered = order, 0, 0
}

// observeRecord notes the outcome of a write of the record. If it failed, an earlier leader may have
// written an order that is equal to this leader's.
func (o *orders) observeRecord(r Result) {
	o.written = r.Action.Record.Order
	if r.Failed {
		o.own, o.written = Order{}, nil
	}
}

// confirmed reports whether this leader's last write has shown that the store's record names the
// order and allows requests. A request has no condition of its own, and the leader may know an
// outdated record.
func (o *orders) confirmed(r Record) bool {
	return o.written != nil && r.Order != nil && *o.written == *r.Order && r.Order.QuietFor == 0
}

// observe notes the outcome of a promotion request. One that was rejected has no effect.
func (o *orders) observe(now time.Duration, r Result) {
	switch {
	case r.Rejected:
		return
	case r.Failed:
		o.unanswered++
	default:
		o.accepted++
	}
	o.endedAt = now
}

// rejected reports whether the platform has rejected every request for a promotion under the
// present fence, all of which this leader has sent.
func (o *orders) rejected(r Record) bool {
	return r.Order != nil && r.Order.same(o.own) && !o.own.AfterAnother && o.accepted+o.unanswered == 0
}

// mayHaveReplaced reports whether the promotion of another target than the record's primary may
// have taken effect under the present fence.
func (o *orders) mayHaveReplaced(r Record) bool {
	return r.Order != nil && (r.Order.AfterAnother || r.Order.Successor != r.Primary && !o.rejected(r))
}

// settledInUse reports the same for the order in the record of a primary that is in use: it was
// published after the end of all requests, whoever has sent them.
func (o *orders) settledInUse(now time.Duration, v View) bool {
	return o.settled(now, v) || !v.Record.Fenced && now-v.RecordSeenAt >= orderSettleTime
}

// changedNothing reports whether the platform has accepted a request and the promotion has not
// taken effect in time: its target is the present primary.
func (o *orders) changedNothing(now time.Duration) bool {
	return o.accepted > 0 && now >= o.endedAt+orderSettleTime
}

// outstanding returns the order that the record has to keep once a successor leads: nil if no
// request can take effect any more, or the only one has. No target that was ordered before leads then.
func (o *orders) outstanding(now time.Duration, v View, successor topology.TargetID) *Order {
	r := v.Record
	if o.settled(now, v) || r.Order.same(o.own) && successor == o.own.Successor && o.accepted == 1 && o.unanswered == 0 {
		return nil
	}
	order := *r.Order
	order.AfterAnother = order.AfterAnother && order.Successor != successor
	return &order
}

// publishOrder returns the publication of the order to promote a target.
func (c *Coordinator) publishOrder(v View, target directory.Target) Action {
	order := Order{Successor: target.ID, Incarnation: target.Incarnation, Received: c.choice.received, LedTerm: c.choice.ledTerm, AfterAnother: c.orders.mayHaveReplaced(v.Record)}
	c.orders.write(order)
	ordered := v.Record
	ordered.Order, ordered.Waiting = &order, ""
	return Action{Kind: PublishRecord, Record: ordered, Revision: v.Revision, Reason: "the successor is chosen"}
}

// reopenOrder returns the publication of the order under which its target is to be requested again.
func reopenOrder(v View) Action {
	reopened, order := v.Record, *v.Record.Order
	order.QuietFor = 0
	reopened.Order = &order
	return Action{Kind: PublishRecord, Record: reopened, Revision: v.Revision, Reason: "the successor is ordered again"}
}

// withdrawOrder returns the publication of a record without its order, so that later leaders
// need not take it into account.
func withdrawOrder(v View) Action {
	withdrawn := v.Record
	withdrawn.Order = nil
	return Action{Kind: PublishRecord, Record: withdrawn, Revision: v.Revision, Reason: "the platform has rejected the successor"}
}

// chooseSuccessor returns the target to promote, or the one that is primary already. While an
// earlier order may still take effect, that can only be the target of the order.
func (c *Coordinator) chooseSuccessor(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) (topology.TargetID, TargetStatus, bool) {
	settled := c.orders.settled(now, v)
	if id, status := c.promotedPrimary(now, v, statuses); id != "" && c.isLatestPrimary(v, id, statuses) {
		return id, status, settled || id == v.Record.Order.Successor
	}
	if settled {
		return c.bestCandidate(now, v, statuses)
	}
	id := v.Record.Order.Successor
	status, responded := statuses[id]
	suitable := responded && v.Record.Order.names(v.Targets[id]) && status.Received.Reaches(v.Record.Order.Received) &&
		c.isCandidate(now, v, id, status) && holdsAcknowledged(v, status, statuses)
	return id, status, suitable
}

// isLatestPrimary reports whether no target that does not respond can lead a later term than a
// target which is primary: one whose promotion was ordered may, once the order has settled. The
// target then has to be promoted again before it is used.
func (c *Coordinator) isLatestPrimary(v View, id topology.TargetID, statuses map[topology.TargetID]TargetStatus) bool {
	order, status := v.Record.Order, statuses[id]
	if status.Role != topology.RolePrimary || status.Term < v.Record.Term {
		return false
	}
	switch {
	case order == nil, c.orders.rejected(v.Record):
		return true
	case order.Successor == id:
		return status.Term > order.LedTerm
	}
	_, responded := statuses[order.Successor]
	return responded && !order.AfterAnother
}
