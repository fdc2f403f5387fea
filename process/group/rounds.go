package group

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// never is a time that no clock reaches.
const never = time.Duration(1<<63 - 1)

// member is the state of one member of the group.
type member struct {
	TargetConfig
	known  bool
	status topology.Status
	// answered and answeredAt are the sequence and the sending time of the
	// request that the last answer answered.
	answered   uint64
	answeredAt time.Duration
	// asked and askedAt belong to the last request, answered or not.
	asked   uint64
	askedAt time.Duration
	pending bool
	// failed is the sequence of the last request that failed.
	failed uint64
	misses int
	// wanted is the sequence after which a request was called for by Poll.
	wanted uint64
}

// Rounds decides when the members of one group are asked for their status and
// whom the answers serve. A waiter is served only by answers whose requests were
// sent after it joined; each request serves every waiter that joined before it.
// A member has at most one request in flight, and a slow member holds up only
// those whom the other answers do not suffice. Rounds is not safe for
// concurrent use.
type Rounds struct {
	config    RoundsConfig
	service   topology.ServiceID
	members   []member
	waiters   []*waiter
	frontiers frontiers
	// reigns remembers the primaries of recent terms.
	reigns map[topology.Term]topology.TargetID
	// sequence orders joins and requests.
	sequence uint64
	watching bool
	lastJoin time.Duration
	// points is scratch space.
	points []topology.Point
}

// NewRounds returns the rounds of a service's group, without members.
func NewRounds(service topology.ServiceID, config RoundsConfig) *Rounds {
	return &Rounds{
		config:   config,
		service:  service,
		reigns:   make(map[topology.Term]topology.TargetID),
		lastJoin: -config.IdleAfter,
	}
}

// SetWatching tells whether this instance sends heartbeats also while no
// request uses the group.
func (r *Rounds) SetWatching(now time.Duration, watching bool, out *Output) {
	r.watching = watching
	r.Tick(now, out)
}

// SetTargets replaces the list of members. Members that stay keep their state;
// their answers in flight still count.
func (r *Rounds) SetTargets(now time.Duration, targets []TargetConfig, out *Output) {
	members := make([]member, 0, len(targets))
	for _, target := range targets {
		m := member{TargetConfig: target, askedAt: -r.config.Heartbeat}
		if old := r.member(target.ID); old != nil && old.Control == target.Control {
			m = *old
			m.TargetConfig = target
		}
		members = append(members, m)
	}
	r.members = members
	r.Tick(now, out)
}

// Join opens a wait. Its result appears in the output of this or a later call.
func (r *Rounds) Join(now time.Duration, id WaiterID, need Need, out *Output) {
	r.sequence++
	r.lastJoin = now
	r.waiters = append(r.waiters, &waiter{id: id, need: need, joined: r.sequence, joinedAt: now})
	r.Tick(now, out)
}

// Leave abandons a wait.
func (r *Rounds) Leave(id WaiterID) {
	for i, w := range r.waiters {
		if w.id == id {
			r.removeWaiter(i)
			return
		}
	}
}

// Poll asks every member as soon as its request in flight has ended.
func (r *Rounds) Poll(now time.Duration, out *Output) {
	r.sequence++
	for i := range r.members {
		r.members[i].wanted = r.sequence
	}
	r.Tick(now, out)
}

// Answered takes a member's answer to the request of the sequence.
func (r *Rounds) Answered(now time.Duration, sequence uint64, status topology.Status, out *Output) {
	m := r.inFlight(sequence)
	if m == nil {
		return
	}
	m.pending = false
	m.misses = 0
	m.known = true
	m.status = status
	m.answered = sequence
	m.answeredAt = m.askedAt
	r.observeReign(status)
	r.advanceFrontier(now)
	r.Tick(now, out)
}

// Failed says that the request of the sequence got no answer in time.
func (r *Rounds) Failed(now time.Duration, sequence uint64, out *Output) {
	m := r.inFlight(sequence)
	if m == nil {
		return
	}
	m.pending = false
	m.misses++
	m.failed = sequence
	r.Tick(now, out)
}

// Tick serves the waiters whose needs are met and sends the requests that are
// due.
func (r *Rounds) Tick(now time.Duration, out *Output) {
	for i := 0; i < len(r.waiters); {
		if r.serve(r.waiters[i], now, out) {
			r.removeWaiter(i)
			continue
		}
		i++
	}
	for i := range r.members {
		m := &r.members[i]
		if r.due(m, now) <= now {
			r.ask(m, now, out)
		}
	}
}

// Deadline returns the time by which Tick is to be called next.
func (r *Rounds) Deadline(now time.Duration) time.Duration {
	deadline := never
	for i := range r.members {
		deadline = min(deadline, r.due(&r.members[i], now))
	}
	for _, w := range r.waiters {
		deadline = min(deadline, w.queryDue(now))
	}
	return deadline
}

// View returns a new view of the group.
func (r *Rounds) View() *View {
	view := &View{Service: r.service, Targets: make([]TargetView, len(r.members)), Frontiers: r.frontiers.entries}
	for i := range r.members {
		m := &r.members[i]
		view.Targets[i] = TargetView{
			Target:    m.Target,
			Status:    m.status,
			Known:     m.known,
			Answered:  m.answeredAt,
			Reachable: m.known && m.misses == 0,
			Leaving:   m.Leaving || m.status.Leaving,
		}
	}
	if primary := r.primary(); primary != nil {
		view.Primary = primary.ID
		view.Term = primary.status.Term
	}
	return view
}

// primary returns the member that is primary of a term which the last answers
// of a majority name as theirs, or nil.
func (r *Rounds) primary() *member {
	for i := range r.members {
		m := &r.members[i]
		if m.known && m.status.Role == topology.RolePrimary && r.countTerm(m.status.Term) >= r.majority() {
			return m
		}
	}
	return nil
}

func (r *Rounds) countTerm(term topology.Term) int {
	count := 0
	for i := range r.members {
		if r.members[i].known && r.members[i].status.Term == term {
			count++
		}
	}
	return count
}

func (r *Rounds) majority() int { return topology.Majority(len(r.members)) }

func (r *Rounds) member(id topology.TargetID) *member {
	for i := range r.members {
		if r.members[i].ID == id {
			return &r.members[i]
		}
	}
	return nil
}

func (r *Rounds) inFlight(sequence uint64) *member {
	for i := range r.members {
		if m := &r.members[i]; m.pending && m.asked == sequence {
			return m
		}
	}
	return nil
}

func (r *Rounds) ask(m *member, now time.Duration, out *Output) {
	r.sequence++
	m.asked = r.sequence
	m.askedAt = now
	m.pending = true
	out.Asks = append(out.Asks, Ask{Sequence: r.sequence, Target: m.Target})
}

// due returns when the member is to be asked next.
func (r *Rounds) due(m *member, now time.Duration) time.Duration {
	if m.pending {
		return never
	}
	due := never
	if r.watching || now < r.lastJoin+r.config.IdleAfter {
		due = m.askedAt + r.heartbeat(m)
	}
	if m.asked < m.wanted {
		due = now
	}
	for _, w := range r.waiters {
		if at := r.wants(w, m, now); at < due {
			due = at
		}
	}
	if due == never {
		return never
	}
	return max(due, m.askedAt+r.gap(m))
}

// heartbeat returns the interval of unprompted requests: shorter while a member
// that used to answer does not.
func (r *Rounds) heartbeat(m *member) time.Duration {
	const quickRetries = 20
	if m.misses > 0 && m.misses <= quickRetries {
		return r.config.RetryGap
	}
	return r.config.Heartbeat
}

func (r *Rounds) gap(m *member) time.Duration {
	if m.misses > 0 {
		return r.config.RetryGap
	}
	return r.config.MinGap
}

func (r *Rounds) removeWaiter(i int) {
	r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
}
