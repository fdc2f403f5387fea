package group

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// never is a time in the infinite future.
const never = time.Duration(1<<63 - 1)

// member is the state of one member of the group.
type member struct {
	TargetConfig
	hasStatus bool
	status    topology.Status
	// statusSequence and statusRequestedAt are the sequence and the sending time of
	// the request that status responds to.
	statusSequence    uint64
	statusRequestedAt time.Duration
	// requestSequence and requestedAt belong to the latest request. It is in flight
	// while pending is set.
	requestSequence uint64
	requestedAt     time.Duration
	pending         bool
	// failedSequence is the sequence of the last request that failed, and misses
	// counts the failed requests since the last response. silentSince is valid if there are any.
	failedSequence uint64
	misses         int
	silentSince    time.Duration
	// pollSequence is the sequence at the last Poll: a request with a higher
	// sequence has to be sent.
	pollSequence uint64
}

// Rounds schedules the status requests to the members of one group and completes
// waiters with the responses. A response counts for a waiter only if its request was
// sent after the waiter was added, and each request counts for every waiter added
// before it, so that concurrent waiters share requests. At most one request to a
// member is in flight, and a slow member delays only the waiters that need more than
// the other members' responses. Rounds sends no request itself and reads no clock:
// the requests to send and the completed waits are appended to an Output. Times are
// monotonic. Rounds is not safe for concurrent use.
type Rounds struct {
	config    RoundsConfig
	service   topology.ServiceID
	members   []member
	waiters   []*waiter
	frontiers frontiers
	// termPrimaries holds the known primaries of recent terms.
	termPrimaries map[topology.Term]topology.TargetID
	// sequence numbers status requests, new waiters and polls in one order.
	sequence uint64
	// watching is set while this instance is one of the group's watchers.
	watching bool
	// lastWaitAt is when the last waiter was added.
	lastWaitAt time.Duration
	// scratchPoints is reused to collect the members' points.
	scratchPoints []topology.Point
}

// NewRounds returns Rounds for a service's group, without members.
func NewRounds(service topology.ServiceID, config RoundsConfig) *Rounds {
	return &Rounds{
		config:        config,
		service:       service,
		termPrimaries: make(map[topology.Term]topology.TargetID),
		lastWaitAt:    -config.IdleTimeout,
	}
}

// SetWatching sets whether this instance is one of the group's watchers: only those
// send heartbeats while no request uses the group.
func (r *Rounds) SetWatching(now time.Duration, watching bool, out *Output) {
	r.watching = watching
	r.Tick(now, out)
}

// SetTargets replaces the members. A member that keeps its ID and control address
// keeps its state, and the response to its request in flight still counts.
func (r *Rounds) SetTargets(now time.Duration, targets []TargetConfig, out *Output) {
	members := make([]member, 0, len(targets))
	for _, target := range targets {
		m := member{TargetConfig: target, requestedAt: -r.config.HeartbeatInterval}
		if old := r.member(target.ID); old != nil && old.Control == target.Control {
			m = *old
			m.TargetConfig = target
		}
		members = append(members, m)
	}
	r.members = members
	r.Tick(now, out)
}

// AddWaiter adds a waiter. Its result is appended to the output of this or a later
// call.
func (r *Rounds) AddWaiter(now time.Duration, id WaiterID, condition Condition, out *Output) {
	r.sequence++
	r.lastWaitAt = now
	r.waiters = append(r.waiters, &waiter{id: id, condition: condition, joinedSequence: r.sequence, joinedAt: now})
	r.Tick(now, out)
}

// RemoveWaiter removes a waiter that needs no result any more.
func (r *Rounds) RemoveWaiter(id WaiterID) {
	for i, w := range r.waiters {
		if w.id == id {
			r.removeWaiterAt(i)
			return
		}
	}
}

// Poll requests the status of every member. A member with a request in flight is
// requested again once that request has completed.
func (r *Rounds) Poll(now time.Duration, out *Output) {
	r.sequence++
	for i := range r.members {
		r.members[i].pollSequence = r.sequence
	}
	r.Tick(now, out)
}

// HandleStatus processes a member's response to the request with the sequence.
func (r *Rounds) HandleStatus(now time.Duration, sequence uint64, status topology.Status, out *Output) {
	m := r.memberInFlight(sequence)
	if m == nil {
		return
	}
	m.pending = false
	m.misses = 0
	m.hasStatus = true
	m.status = status
	m.statusSequence = sequence
	m.statusRequestedAt = m.requestedAt
	r.recordPrimary(status)
	r.advanceFrontier(now)
	r.Tick(now, out)
}

// HandleStatusFailure records that the request with the sequence got no valid
// response in time.
func (r *Rounds) HandleStatusFailure(now time.Duration, sequence uint64, out *Output) {
	m := r.memberInFlight(sequence)
	if m == nil {
		return
	}
	m.pending = false
	if m.misses == 0 {
		m.silentSince = max(m.statusRequestedAt, now-r.config.MaxFirstSilence)
	}
	m.misses++
	m.failedSequence = sequence
	r.Tick(now, out)
}

// Tick completes the waiters whose conditions are met and issues the requests that
// are due.
func (r *Rounds) Tick(now time.Duration, out *Output) {
	for i := 0; i < len(r.waiters); {
		if r.completeWaiter(r.waiters[i], now, out) {
			r.removeWaiterAt(i)
			continue
		}
		i++
	}
	for i := range r.members {
		m := &r.members[i]
		if r.nextRequestAt(m, now) <= now {
			r.requestStatus(m, now, out)
		}
	}
}

// Deadline returns the time at which Tick has to be called next.
func (r *Rounds) Deadline(now time.Duration) time.Duration {
	deadline := never
	for i := range r.members {
		deadline = min(deadline, r.nextRequestAt(&r.members[i], now))
	}
	for _, w := range r.waiters {
		deadline = min(deadline, w.nextQueryAt(now))
	}
	return deadline
}

// View returns a new view of the group's current state.
func (r *Rounds) View() *View {
	view := &View{Service: r.service, Targets: make([]TargetView, len(r.members)), Frontiers: r.frontiers.entries}
	for i := range r.members {
		m := &r.members[i]
		view.Targets[i] = TargetView{
			Target:            m.Target,
			Status:            m.status,
			Known:             m.hasStatus,
			StatusRequestedAt: m.statusRequestedAt,
			Reachable:         m.hasStatus && m.misses == 0,
			SilentSince:       m.silentSince,
			Leaving:           m.Leaving || m.status.Leaving,
		}
	}
	if primary := r.primary(); primary != nil {
		view.Primary = primary.ID
		view.Term = primary.status.Term
	}
	return view
}

// primary returns the member that is primary of a term which a majority's last
// responses carry, or nil.
func (r *Rounds) primary() *member {
	for i := range r.members {
		m := &r.members[i]
		if m.hasStatus && m.status.Role == topology.RolePrimary && r.countTerm(m.status.Term) >= r.majoritySize() {
			return m
		}
	}
	return nil
}

// countTerm returns the number of members whose last response carries the term.
func (r *Rounds) countTerm(term topology.Term) int {
	count := 0
	for i := range r.members {
		if r.members[i].hasStatus && r.members[i].status.Term == term {
			count++
		}
	}
	return count
}

func (r *Rounds) majoritySize() int { return topology.Majority(len(r.members)) }

func (r *Rounds) member(id topology.TargetID) *member {
	for i := range r.members {
		if r.members[i].ID == id {
			return &r.members[i]
		}
	}
	return nil
}

// memberInFlight returns the member whose request in flight has the sequence, or nil.
func (r *Rounds) memberInFlight(sequence uint64) *member {
	for i := range r.members {
		if m := &r.members[i]; m.pending && m.requestSequence == sequence {
			return m
		}
	}
	return nil
}

func (r *Rounds) requestStatus(m *member, now time.Duration, out *Output) {
	r.sequence++
	m.requestSequence = r.sequence
	m.requestedAt = now
	m.pending = true
	out.StatusRequests = append(out.StatusRequests, StatusRequest{Sequence: r.sequence, Target: m.Target})
}

// nextRequestAt returns when the next request to the member is due, or never while
// one is in flight or none is needed.
func (r *Rounds) nextRequestAt(m *member, now time.Duration) time.Duration {
	if m.pending {
		return never
	}
	due := never
	if r.watching || now < r.lastWaitAt+r.config.IdleTimeout {
		due = m.requestedAt + r.heartbeatInterval(m)
	}
	if m.requestSequence < m.pollSequence {
		due = now
	}
	for _, w := range r.waiters {
		if at := r.waiterRequestAt(w, m, now); at < due {
			due = at
		}
	}
	if due == never {
		return never
	}
	return max(due, m.requestedAt+r.minInterval(m))
}

// heartbeatInterval returns the interval of heartbeats to a member. It is shorter for the
// first maxFastRetries requests after a member has stopped responding.
func (r *Rounds) heartbeatInterval(m *member) time.Duration {
	const maxFastRetries = 20
	if m.misses > 0 && m.misses <= maxFastRetries {
		return r.config.RetryInterval
	}
	return r.config.HeartbeatInterval
}

// minInterval returns the minimum interval between two requests to a member.
func (r *Rounds) minInterval(m *member) time.Duration {
	if m.misses > 0 {
		return r.config.RetryInterval
	}
	return r.config.MinRequestInterval
}

func (r *Rounds) removeWaiterAt(i int) {
	r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
}
