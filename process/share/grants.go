package share

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// grantTTL is for how long a grant may be used, from when the report that it answers was
	// sent. Two intervals between reports fit into it.
	grantTTL = 4 * time.Second
	// grantMargin is the time for which the grantor counts a grant for longer, from when it
	// received that report. It covers the time until the shares are recomputed after an end.
	grantMargin = 600 * time.Millisecond
)

// Grant is the right to admit fractions of customers' limits out of the sender's shares. It
// ends by itself, by the clocks of both sides, which need not agree.
type Grant struct {
	// Answers is when the receiver sent the report that the grant answers, on its clock, and
	// Incarnation that of the receiver's process.
	Answers     time.Duration                   `cbor:"1,keyasint"`
	Incarnation int64                           `cbor:"2,keyasint"`
	Fractions   map[topology.CustomerID]float64 `cbor:"3,keyasint,omitempty"`
}

// Grants is one instance's account of the fractions that it has granted to others and has
// been granted. What it has granted is not its own until the grant has ended, even if the
// two do not hear from each other. It is not safe for concurrent use.
type Grants struct {
	// Incarnation is that of this process.
	Incarnation int64
	peers       map[topology.InstanceID]*grantPeer
}

// grantPeer is the account with one other instance.
type grantPeer struct {
	incarnation int64
	// reportSentAt, on the peer's clock, and heardAt are of the peer's last report.
	reportSentAt, heardAt time.Duration
	heard                 bool
	// held are the fractions that the peer has granted, until heldUntil.
	held      map[topology.CustomerID]float64
	heldUntil time.Duration
	granted   map[topology.CustomerID][]grantedFraction
}

// grantedFraction is a fraction of one customer's limit that was granted at a time until
// another. The largest of those that have not ended counts, since the receiver may know any
// of them. The end is earlier when the receiver is known to have a later grant.
type grantedFraction struct {
	fraction  float64
	at, until time.Duration
}

// SetPeers sets the instances that divide the limits and their incarnations. The account with
// an instance ends when it is no longer one of them or has another process.
func (g *Grants) SetPeers(incarnations map[topology.InstanceID]int64) {
	peers := make(map[topology.InstanceID]*grantPeer, len(incarnations))
	for id, incarnation := range incarnations {
		if known := g.peers[id]; known != nil && known.incarnation == incarnation {
			peers[id] = known
		} else {
			peers[id] = &grantPeer{incarnation: incarnation, granted: make(map[topology.CustomerID][]grantedFraction)}
		}
	}
	g.peers = peers
}

// Observe records a report of a peer and the grant in it, which replaces the earlier one. It
// reports whether the peer has taken back some of a fraction. A report that a later one has
// overtaken changes nothing, nor does one of another process than the registered one: the
// account with it has ended, or does not exist yet.
func (g *Grants) Observe(now time.Duration, from topology.InstanceID, report Report) (takenBack bool) {
	p := g.peers[from]
	if p == nil || report.Incarnation != p.incarnation || p.heard && report.SentAt <= p.reportSentAt {
		return false
	}
	p.heard, p.reportSentAt, p.heardAt = true, report.SentAt, now
	before := p.held
	p.held, p.heldUntil = nil, 0
	if report.Grant != nil && report.Grant.Incarnation == g.Incarnation {
		p.held, p.heldUntil = report.Grant.Fractions, report.Grant.Answers+grantTTL
		p.endBefore(report.Grant.Answers)
	}
	for id, fraction := range before {
		takenBack = takenBack || fraction-p.held[id] > minTakenBack
	}
	return takenBack
}

// minTakenBack is the fraction of a limit that a peer must take back to be told at once that
// it has it again.
const minTakenBack = 0.02

// endBefore ends the grants before a report that the peer has received.
func (p *grantPeer) endBefore(at time.Duration) {
	for id, granted := range p.granted {
		p.granted[id] = slices.DeleteFunc(granted, func(f grantedFraction) bool { return f.at < at })
	}
}

// InTouch reports whether a peer's last report may be answered by a grant.
func (g *Grants) InTouch(now time.Duration, id topology.InstanceID) bool {
	p := g.peers[id]
	return p != nil && p.heard && now < p.heardAt+grantTTL
}

// Give grants fractions to a peer in place of earlier ones, as far as the instance's own
// fractions, the base, are not granted to others. The grant goes with the report that is sent
// at the same time. It returns nil if the peer is not in touch.
func (g *Grants) Give(now time.Duration, to topology.InstanceID, wanted, base map[topology.CustomerID]float64) *Grant {
	if !g.InTouch(now, to) {
		return nil
	}
	p := g.peers[to]
	grant := &Grant{Answers: p.reportSentAt, Incarnation: p.incarnation, Fractions: make(map[topology.CustomerID]float64, len(wanted))}
	for id, fraction := range wanted {
		elsewhere := g.Granted(now, id) - p.grantedNow(now, id)
		if fraction = min(fraction, base[id]-elsewhere); fraction <= 0 {
			continue
		}
		grant.Fractions[id] = fraction
		p.granted[id] = append(p.granted[id], grantedFraction{fraction, now, p.heardAt + grantTTL + grantMargin})
	}
	return grant
}

// Granted returns the fraction of a customer's limit that others may use.
func (g *Grants) Granted(now time.Duration, id topology.CustomerID) float64 {
	sum := 0.0
	for _, p := range g.peers {
		sum += p.grantedNow(now, id)
	}
	return sum
}

// grantedNow returns the largest fraction of a customer's limit whose grant has not ended.
func (p *grantPeer) grantedNow(now time.Duration, id topology.CustomerID) float64 {
	p.granted[id] = slices.DeleteFunc(p.granted[id], func(f grantedFraction) bool { return now >= f.until })
	largest := 0.0
	for _, f := range p.granted[id] {
		largest = max(largest, f.fraction)
	}
	return largest
}

// Held returns the fraction of a customer's limit that a peer has granted this instance.
func (g *Grants) Held(now time.Duration, from topology.InstanceID, id topology.CustomerID) float64 {
	if p := g.peers[from]; p != nil && now < p.heldUntil {
		return p.held[id]
	}
	return 0
}

// EndedBetween reports whether a grant, given or held, has ended after one time and until
// another.
func (g *Grants) EndedBetween(after, until time.Duration) bool {
	ended := func(end time.Duration) bool { return after < end && end <= until }
	for _, p := range g.peers {
		if ended(p.heldUntil) {
			return true
		}
		for _, granted := range p.granted {
			if slices.ContainsFunc(granted, func(f grantedFraction) bool { return ended(f.until) }) {
				return true
			}
		}
	}
	return false
}
