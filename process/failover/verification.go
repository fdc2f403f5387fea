package failover

import (
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// maxVerifications is the number of status requests after which a record that no primary
// fits is fenced. One response may be lost, and a target may be slow.
const maxVerifications = 3

// verified reports whether the stored record was written or verified since the store was
// last restored.
func (v View) verified() bool { return v.Revision != 0 && v.Record.Era == v.Era }

// LatestKnown returns the latest record of the service, stored or known to a user, with every order
// under its fence that any of them names.
func (v View) LatestKnown() Record {
	latest, databases, names := v.Record, v.Record.Databases, v.Record.Names
	for _, known := range v.Known {
		databases, names = max(databases, known.Databases), mergeNames(names, known.Names)
		switch {
		case known.Later(latest):
			latest = known
		case !latest.Later(known):
			latest.Order = mergeOrders(latest.Order, known.Order)
		}
	}
	latest.Databases, latest.Names = databases, names
	return latest
}

// mergeOrders returns the order that stands for two under one fence. Of two different ones it is not
// known which is the later: the order that is returned names neither, so that every target has to be
// promoted again before it is used.
func mergeOrders(a, b *Order) *Order {
	switch {
	case a == nil:
		return b
	case b == nil || *a == *b:
		return a
	default:
		return &Order{AfterAnother: true}
	}
}

// verify returns the action that brings the record up to date after the store was
// restored. What the restore has lost may include promotions. If this leader has led
// throughout, the users know the latest record. Otherwise the targets are asked, once no
// earlier promotion can take effect any more.
func (c *Coordinator) verify(v View) Action {
	latest := v.LatestKnown()
	switch {
	case !v.LedThroughout && !v.PromotionsSettled:
		return Action{}
	case latest.Fenced:
		return publishFence(v, latest, "the failover was interrupted by a restore of the store")
	case v.LedThroughout:
		latest.Era = v.Era
		return Action{Kind: PublishRecord, Record: latest, Revision: v.Revision, Reason: "known to its users before the restore"}
	}
	targets := make([]directory.Target, 0, len(v.Targets))
	for _, t := range v.Targets {
		targets = append(targets, t)
	}
	return Action{Kind: RequestStatuses, Targets: targets, Reason: "verifying the record after a restore of the store"}
}

// verifiedRecord returns the publication of the record that the targets' statuses prove, or
// of a fence if they prove none after several attempts: the primary is then replaced. A target that
// may lead a later term counts as ordered: it may be silent or gone once a successor is chosen.
func (c *Coordinator) verifiedRecord(v View, statuses map[topology.TargetID]TargetStatus) Action {
	latest := v.LatestKnown()
	primary, responded := statuses[latest.Primary]
	later := laterTermPossible(v, statuses, latest)
	if responded && primary.Role == topology.RolePrimary && primary.Term == latest.Term && later == nil {
		c.verifications = 0
		latest.Era = v.Era
		return Action{Kind: PublishRecord, Record: latest, Revision: v.Revision, Reason: "its primary responds"}
	}
	c.verifications++
	if c.verifications < maxVerifications || !hasCandidate(View{Record: latest, Targets: v.Targets}) {
		return Action{}
	}
	c.verifications = 0
	latest.Order = mergeOrders(latest.Order, later)
	return publishFence(v, latest, "no primary fits the record after a restore of the store")
}

// laterTermPossible returns what stands for the order of a later primary than the record's, nil if
// there can be none. There may be one if a target knows of a later term, or is listed as primary and
// does not respond.
func laterTermPossible(v View, statuses map[topology.TargetID]TargetStatus, record Record) *Order {
	var leader topology.TargetID
	led := record.Term
	for id := range v.Targets {
		if status := statuses[id]; status.Role == topology.RolePrimary && status.Term > led {
			leader, led = id, status.Term
		}
	}
	var later *Order
	for id, target := range v.Targets {
		status, responded := statuses[id]
		switch {
		case responded && status.Term > led:
			later = mergeOrders(later, &Order{AfterAnother: true}) // it follows one that does not respond
		case id == leader, !responded && id != record.Primary && target.Role == topology.RolePrimary:
			later = mergeOrders(later, &Order{Successor: id, Incarnation: target.Incarnation, Received: status.Received})
		}
	}
	return later
}
