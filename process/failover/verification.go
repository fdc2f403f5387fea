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

// LatestKnown returns the latest record of the service, stored or known to a user.
func (v View) LatestKnown() Record {
	latest, databases := v.Record, v.Record.Databases
	for _, known := range v.Known {
		databases = max(databases, known.Databases)
		if known.Later(latest) {
			latest = known
		}
	}
	latest.Databases = databases
	return latest
}

// verify returns the action that brings the record up to date after the store was
// restored. What the restore has lost may include promotions. If this leader has led
// throughout, the users know the latest record. Otherwise the targets are asked, once no
// earlier promotion can take effect any more.
func (c *Coordinator) verify(v View) Action {
	latest := v.LatestKnown().withoutQuiet()
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
// of a fence if they prove none after several attempts: the primary is then replaced.
func (c *Coordinator) verifiedRecord(v View, statuses map[topology.TargetID]TargetStatus) Action {
	latest := v.LatestKnown().withoutQuiet()
	primary, responded := statuses[latest.Primary]
	if responded && primary.Role == topology.RolePrimary && primary.Term == latest.Term && !laterTermPossible(v, statuses, latest) {
		c.verifications = 0
		latest.Era = v.Era
		return Action{Kind: PublishRecord, Record: latest, Revision: v.Revision, Reason: "its primary responds"}
	}
	c.verifications++
	if c.verifications < maxVerifications || !hasCandidate(View{Record: latest, Targets: v.Targets}) {
		return Action{}
	}
	c.verifications = 0
	return publishFence(v, latest, "no primary fits the record after a restore of the store")
}

// laterTermPossible reports whether a target may be primary of a later term than the
// record's: one that knows of a later term, or one that is listed as primary and does not
// respond.
func laterTermPossible(v View, statuses map[topology.TargetID]TargetStatus, record Record) bool {
	for id, target := range v.Targets {
		status, responded := statuses[id]
		switch {
		case responded && status.Term > record.Term:
			return true
		case !responded && id != record.Primary && target.Role == topology.RolePrimary:
			return true
		}
	}
	return false
}
