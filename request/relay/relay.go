package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/home"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/perform"
)

var (
	eventPeerSilent  = event.Define(1320, event.Warning, "home does not answer, its work goes elsewhere")
	eventPeerBack    = event.Define(1321, event.Info, "home answers again")
	eventBadMessage  = event.Define(1322, event.Warning, "message of a peer cannot be read")
	eventRelayFailed = event.Define(6510, event.Decision, "home did not run a statement")
)

// Times of judging a home.
const (
	// pingAfter is how long a request may be outstanding before the home is asked
	// whether it lives; most answers come sooner.
	pingAfter = 100 * time.Millisecond
	// silentAfter is how long a home may leave a ping unanswered: far more than a
	// round trip of 3 ms and a busy processor's delay.
	silentAfter = 250 * time.Millisecond
	// declinedPause is how long a home that declined work gets no more: it lacks a
	// configuration that spreads within seconds, or it leaves.
	declinedPause = 400 * time.Millisecond
	// resetAfter is how long a link may stay silent before it is opened anew.
	resetAfter = 1200 * time.Millisecond
	// reprobeInterval is the pause between pings of a silent home.
	reprobeInterval = 200 * time.Millisecond
)

// Link sends messages to peers; peer.Mesh implements it.
type Link interface {
	Send(to topology.InstanceID, kind peer.Kind, payload any)
	Reachable(id topology.InstanceID) bool
	Reset(id topology.InstanceID)
	// Want opens a link soon if there is none.
	Want(id topology.InstanceID)
}

// Dependencies of a Relay.
type Dependencies struct {
	Self   topology.InstanceID
	Born   int64
	Engine *perform.Engine
	Link   Link
	Clock  clock.Clock
	Log    logr.Logger
	// Stopping reports that this instance takes no more work of others.
	Stopping func() bool
	// Fit reports that this instance's rights and configuration are fresh enough to
	// run work itself.
	Fit func() bool
	// OnConfirmed takes a home's word that the configuration of a revision was the
	// newest at a time.
	OnConfirmed func(from topology.InstanceID, revision store.Revision, at time.Duration)
	// Configuration returns the configuration in force as the store holds it.
	Configuration func() store.Entry
	// OnConfiguration takes a configuration that a peer told. It was the newest at a
	// time, negative when unknown.
	OnConfiguration func(from topology.InstanceID, revision store.Revision, value []byte, at time.Duration)
	// OnDeclined is told when a home declines work or gives no answer.
	OnDeclined func()
	// OnNeeds takes the demand that a peer tells.
	OnNeeds func(from topology.InstanceID, needs share.Needs)
}

// Relay implements perform.Runner by handing operations to homes. It is safe
// for concurrent use.
type Relay struct {
	Dependencies
	server *server
	// lastID is the last number of a request, a loan or a ping. It starts at random:
	// homes may answer an earlier process of this instance late.
	lastID atomic.Uint64
	// newest is the newest version of a configuration that decided for a caller.
	newest   atomic.Uint64
	places   atomic.Pointer[places]
	mu       sync.Mutex
	pending  map[uint64]*call
	liveness map[topology.InstanceID]*liveness
	// loans are requests to lend that wait for their answers.
	loans map[uint64]chan bool
	// askedAt is when a peer was last asked for its configuration.
	askedAt time.Duration
}

// places says where work goes.
type places struct {
	homes  home.Assignment
	spread map[topology.CustomerID]int
	// cutOff holds the homes that cannot reach their service's primary.
	cutOff map[Pair]bool
}

// Pair is a home of a service.
type Pair struct {
	Service  topology.ServiceID
	Instance topology.InstanceID
}

// call is a request that waits for its reply.
type call struct {
	to    topology.InstanceID
	since time.Duration
	// repeatable requests only read and may run elsewhere as well.
	repeatable bool
	// done receives the reply, or nil when the link ended.
	done chan *reply
}

// liveness is what is known of one home.
type liveness struct {
	heard time.Duration
	// asked is when the oldest unanswered ping was sent, zero for none.
	asked  time.Duration
	pinged time.Duration
	silent bool
	// declinedUntil is when a home that declined work is asked again.
	declinedUntil time.Duration
}

// New returns a relay that runs everything here until Place is called.
func New(d Dependencies) *Relay {
	r := &Relay{Dependencies: d, pending: make(map[uint64]*call), loans: make(map[uint64]chan bool), liveness: make(map[topology.InstanceID]*liveness)}
	r.lastID.Store(rand.Uint64())
	r.server = newServer(r)
	r.places.Store(&places{})
	return r
}

// Place sets where work goes.
func (r *Relay) Place(homes home.Assignment, spread map[topology.CustomerID]int, cutOff map[Pair]bool) {
	r.places.Store(&places{homes: homes, spread: spread, cutOff: cutOff})
}

// TellNeeds tells this instance's demand to others.
func (r *Relay) TellNeeds(to []topology.InstanceID, needs share.Needs) {
	for _, id := range to {
		if id != r.Self {
			r.send(id, &message{Needs: needs})
		}
	}
}

// Busy reports that work of other instances is under way here.
func (r *Relay) Busy() bool { return r.server.busy() }

func (r *Relay) send(to topology.InstanceID, m *message) { r.Link.Send(to, peer.KindRelay, m) }

// Receive takes a message of a peer.
func (r *Relay) Receive(from topology.InstanceID, payload []byte) {
	var m message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		eventBadMessage.LogError(r.Log, err, "peer", from)
		return
	}
	r.heard(from)
	switch {
	case m.Request != nil:
		go r.server.handle(from, m.Request)
	case m.Reply != nil:
		r.replied(from, m.Reply)
	case m.End != nil:
		go r.server.end(remoteSession{instance: from, id: *m.End})
	case len(m.Needs) > 0:
		r.OnNeeds(from, m.Needs)
	case m.Ask != nil:
		r.tell(from, m.Ask)
	case m.Told != nil:
		r.told(from, m.Told)
	case m.Borrow != nil:
		r.send(from, &message{Lent: &lent{ID: m.Borrow.ID, OK: r.Engine.LendToken(m.Borrow.Customer)}})
	case m.Lent != nil:
		r.lent(m.Lent)
	case m.Ping != 0:
		r.send(from, &message{Pong: m.Ping})
	}
}

func (r *Relay) heard(from topology.InstanceID) {
	r.mu.Lock()
	l := r.livenessOf(from)
	l.heard, l.asked = r.Clock(), 0
	back := l.silent
	l.silent = false
	r.mu.Unlock()
	if back {
		eventPeerBack.Log(r.Log, "peer", from)
	}
}

// livenessOf returns the liveness of a peer. The caller holds the lock.
func (r *Relay) livenessOf(id topology.InstanceID) *liveness {
	l, known := r.liveness[id]
	if !known {
		l = &liveness{}
		r.liveness[id] = l
	}
	return l
}

// replied hands a reply to the request that waits for it. Only the instance that was
// asked can answer.
func (r *Relay) replied(from topology.InstanceID, answer *reply) {
	r.mu.Lock()
	c := r.pending[answer.ID]
	expected := c != nil && c.to == from
	if expected {
		delete(r.pending, answer.ID)
	}
	r.mu.Unlock()
	if expected {
		c.done <- answer
	}
}

// Lost notes that the last link to a peer has ended.
func (r *Relay) Lost(id topology.InstanceID) {
	r.mu.Lock()
	var lost []*call
	for number, c := range r.pending {
		if c.to == id {
			lost = append(lost, c)
			delete(r.pending, number)
		}
	}
	delete(r.liveness, id)
	r.mu.Unlock()
	for _, c := range lost {
		c.done <- nil
	}
	r.server.lost(id)
}

// Tick judges the homes that requests wait for. The driver calls it every few
// tens of milliseconds.
func (r *Relay) Tick() {
	now := r.Clock()
	r.mu.Lock()
	for _, c := range r.pending {
		if l := r.livenessOf(c.to); l.asked == 0 && now-max(c.since, l.heard) > pingAfter {
			l.asked = now
		}
	}
	var ping, reset, silenced []topology.InstanceID
	for id, l := range r.liveness {
		if l.asked == 0 {
			continue
		}
		if !l.silent && now-l.asked > silentAfter {
			l.silent = true
			silenced = append(silenced, id)
		}
		if now-l.asked > resetAfter {
			l.asked = now
			reset = append(reset, id)
		}
		if now-l.pinged >= reprobeInterval {
			l.pinged = now
			ping = append(ping, id)
		}
	}
	r.mu.Unlock()
	r.server.sweep(now)
	for _, id := range silenced {
		eventPeerSilent.Log(r.Log, "peer", id)
		r.abandonReads(id)
	}
	for _, id := range reset {
		r.Link.Reset(id)
	}
	for _, id := range ping {
		r.send(id, &message{Ping: r.lastID.Add(1)})
	}
}

// usable reports whether work can go to a peer.
func (r *Relay) usable(id topology.InstanceID) bool {
	if !r.Link.Reachable(id) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l, known := r.liveness[id]
	return !known || !l.silent && r.Clock() >= l.declinedUntil
}

// choose returns where an operation of a customer goes: its home, the other home,
// or a backup, which may be this instance. It is not ok when none can be reached.
func (r *Relay) choose(service topology.ServiceID, customer topology.CustomerID, excluded []topology.InstanceID) (chosen topology.InstanceID, ok bool) {
	p := r.places.Load()
	homes := p.homes.Homes(service)
	for i := range homes {
		id := homes[(p.spread[customer]+i)%len(homes)]
		if slices.Contains(excluded, id) || id != r.Self && !r.usable(id) {
			continue
		}
		if !p.cutOff[Pair{service, id}] {
			return id, true
		}
		if !ok {
			chosen, ok = id, true
		}
	}
	if ok || p.homes.Uses(r.Self, service) && !slices.Contains(excluded, r.Self) {
		return cmp.Or(chosen, r.Self), true
	}
	for _, id := range p.homes.Backups(service) {
		if !slices.Contains(excluded, id) && r.usable(id) {
			return id, true
		}
	}
	return "", false
}

// linkPatience is how long an operation waits for a link to a home: as long as a
// link takes to open, and a margin.
const linkPatience = 300 * time.Millisecond

// place chooses an instance and waits a little for a link when there is none yet.
// This instance itself is chosen only while it is fit, or when no other is left.
func (r *Relay) place(service topology.ServiceID, customer topology.CustomerID, excluded []topology.InstanceID) (topology.InstanceID, bool) {
	end := r.Clock() + linkPatience
	r.wantHomes(service)
	if !r.Fit() || !r.upToDate() {
		if to, ok := r.choose(service, customer, append(slices.Clone(excluded), r.Self)); ok {
			return to, ok
		}
	}
	for {
		to, ok := r.choose(service, customer, excluded)
		if ok || r.Clock() >= end {
			return to, ok
		}
		r.wantHomes(service)
		time.Sleep(10 * time.Millisecond)
	}
}

// wantHomes has missing links to the homes of a service opened. Without it work that
// a backup took while a home had no link would stay with the backup.
func (r *Relay) wantHomes(service topology.ServiceID) {
	for _, id := range r.places.Load().homes.Homes(service) {
		if id != r.Self {
			r.Link.Want(id)
		}
	}
}

// noInstance refuses an operation that no instance can run.
var noInstance = statement.Answer{Code: statement.Busy, Detail: "no home of the service can be reached"}
