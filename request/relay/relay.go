package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

var (
	eventOwnerSilent    = event.Define(1320, event.Warning, "owner does not respond; its operations are forwarded to other instances")
	eventOwnerResponds  = event.Define(1321, event.Info, "owner responds again")
	eventInvalidMessage = event.Define(1322, event.Warning, "message from a peer cannot be decoded")
	eventNotSent        = event.Define(1325, event.Warning, "message to a peer is not sent")
	eventForwardFailed  = event.Define(6510, event.Decision, "owner did not run a forwarded statement")
)

// Detection of owners that do not respond.
const (
	// pingDelay is how long a request may be outstanding before its owner is pinged.
	// Most responses arrive earlier.
	pingDelay = 100 * time.Millisecond
	// silenceTimeout is how long a ping may be outstanding before the owner counts as
	// silent: far longer than a round trip of 3 ms plus the delay of a busy processor.
	silenceTimeout = 250 * time.Millisecond
	// declineBackoff is how long no operations are forwarded to an instance that
	// declined one. It lacks a configuration, which spreads within seconds, or is
	// shutting down.
	declineBackoff = 400 * time.Millisecond
	// linkResetTimeout is how long a link may be silent before it is reopened.
	linkResetTimeout = 1200 * time.Millisecond
	// pingInterval is the time between pings of a silent owner.
	pingInterval = 200 * time.Millisecond
)

// Link sends messages to peers. The peer mesh implements it.
type Link interface {
	// Send sends a message without waiting. The message may be lost.
	Send(to topology.InstanceID, kind peer.Kind, payload any)
	// Reachable reports whether there is a link to the peer.
	Reachable(id topology.InstanceID) bool
	// Reset closes the links to a peer, which are then opened again.
	Reset(id topology.InstanceID)
	// RequestLink has a link to the peer opened soon if there is none.
	RequestLink(id topology.InstanceID)
}

// Dependencies holds the identity of a Relay's process and the components and
// callbacks that it uses.
type Dependencies struct {
	Self topology.InstanceID
	// Incarnation is the incarnation of this process.
	Incarnation int64
	Engine      *engine.Engine
	Link        Link
	Clock       clock.Clock
	Log         logr.Logger
	// Stopping reports whether this instance is shutting down and accepts no more
	// operations of other instances.
	Stopping func() bool
	// AdmitsStatement reports whether a statement with a timeout may be run. During a
	// shutdown, one that may not be complete before the process exits may not.
	AdmitsStatement func(timeout time.Duration) bool
	// Ready reports whether this instance's authority and configuration were confirmed
	// recently enough to run operations itself.
	Ready func() bool
	// OnConfigurationConfirmed is called when an owner's response shows that the
	// configuration of a version was the latest at confirmedAt.
	OnConfigurationConfirmed func(from topology.InstanceID, version uint64, confirmedAt time.Duration)
	// Configuration returns the configuration in force in its stored form.
	Configuration func() store.Entry
	// OnConfiguration is called with a configuration that a peer sent. It was the
	// latest at confirmedAt, which is negative when unknown.
	OnConfiguration func(from topology.InstanceID, revision store.Revision, value []byte, confirmedAt time.Duration)
	// OnRoutingOutdated is called when the owners that this instance knows may have
	// changed: an instance declined a forwarded operation, did not respond to it, or
	// reported that it does not own the service.
	OnRoutingOutdated func()
	// Registrations returns the changes of registrations after a revision.
	Registrations func(since store.Revision) RegistrationChanges
	// OnFollowed is called with the answer of the followed peer: the changes of
	// registrations, and the age of its confirmation by the store, negative without one.
	OnFollowed func(from topology.InstanceID, changes RegistrationChanges, confirmationAge time.Duration)
	// OnDemand is called with a peer's demand for the customers' rates and its use of them.
	OnDemand func(from topology.InstanceID, report share.Report)
}

// RegistrationChanges are the changes of registrations after a revision, up to Until. Until
// is zero when the instance that reports them does not watch the store. Complete says that
// they are all registrations instead, because the revision precedes a restore of the store.
type RegistrationChanges struct {
	Changes  []store.Change
	Until    store.Revision
	Complete bool
}

// Relay runs callers' operations by forwarding them to owners. It implements the
// engine's Runner and is safe for concurrent use.
type Relay struct {
	Dependencies
	server *server
	// lastID is the ID of the last request, loan or ping. It starts at a random
	// number, so that late responses to an earlier process of this instance match no
	// request.
	lastID atomic.Uint64
	// lastTransaction is the number of the last transaction that a caller here has begun.
	lastTransaction atomic.Uint64
	// newestConfigVersion is the newest version of a configuration under which a
	// caller's operation was decided.
	newestConfigVersion atomic.Uint64
	routing             atomic.Pointer[routingTable]

	mu sync.Mutex // guards the fields below
	// pending holds the forwarded requests without a response, by ID.
	pending  map[uint64]*pendingRequest
	liveness map[topology.InstanceID]*liveness
	// pendingLoans holds the loan requests without a response, by ID.
	pendingLoans map[uint64]pendingLoan
	// configurationRequestedAt is when a configuration was last requested, from
	// configurationPeer.
	configurationRequestedAt time.Duration
	configurationPeer        topology.InstanceID
	// followed is the peer to which the last follow request was sent, at followedAt.
	followed   topology.InstanceID
	followedAt time.Duration
}

// routingTable determines to which instances operations are forwarded. It is
// immutable.
type routingTable struct {
	owners owner.Assignment
	// ownerOffsets holds the index of each customer's first owner in the list of a
	// service's owners, modulo its length.
	ownerOffsets map[topology.CustomerID]int
	// withoutPrimary holds the owners that cannot reach their service's primary.
	withoutPrimary map[ServiceOwner]bool
}

// ServiceOwner is an owner of a service.
type ServiceOwner struct {
	Service  topology.ServiceID
	Instance topology.InstanceID
}

// pendingRequest is a forwarded request that waits for its response.
type pendingRequest struct {
	to     topology.InstanceID
	sentAt time.Duration
	// statementID is the caller's ID of the forwarded statement, for the log.
	statementID string
	// readOnly says that the request only reads, so that another instance may run it
	// too.
	readOnly bool
	// response receives the response, or nil when none can be expected any more. It
	// has a buffer of one; a sender removes the request from the pending ones first,
	// so that only one value is sent.
	response chan *forwardResponse
}

// liveness is the state of the failure detection for one peer.
type liveness struct {
	// lastReceived is when the last message from the peer was received.
	lastReceived time.Duration
	// awaitingSince is when the oldest ping without a response became due, or when
	// the link was last reset; zero when nothing is outstanding.
	awaitingSince time.Duration
	lastPing      time.Duration
	silent        bool
	// backoffUntil is when operations may be forwarded again after one was declined.
	backoffUntil time.Duration
}

// New returns a relay without owners. It refuses all operations until its routing is
// set.
func New(d Dependencies) *Relay {
	r := &Relay{Dependencies: d, pending: make(map[uint64]*pendingRequest), pendingLoans: make(map[uint64]pendingLoan), liveness: make(map[topology.InstanceID]*liveness)}
	r.lastID.Store(rand.Uint64())
	r.server = newServer(r)
	r.routing.Store(&routingTable{})
	return r
}

// SetRouting sets to which instances operations are forwarded: the owners of services,
// the index of each customer's first owner in the list of a service's owners, modulo
// its length, and the owners that cannot reach their service's primary.
func (r *Relay) SetRouting(owners owner.Assignment, ownerOffsets map[topology.CustomerID]int, withoutPrimary map[ServiceOwner]bool) {
	r.routing.Store(&routingTable{owners: owners, ownerOffsets: ownerOffsets, withoutPrimary: withoutPrimary})
}

// SendDemand sends this instance's demand and excess to other instances.
func (r *Relay) SendDemand(to []topology.InstanceID, report share.Report) {
	for _, id := range to {
		if id != r.Self {
			r.send(id, &message{Demand: report.Demand, Excess: report.Excess, ReportSentAt: report.SentAt, Grant: report.Grant, Incarnation: r.Incarnation})
		}
	}
}

// HasRemoteOperations reports whether operations of other instances are in progress here.
func (r *Relay) HasRemoteOperations() bool { return r.server.hasOperations() }

// Receive handles a message from a peer. It does not block: statements run in
// goroutines of their own.
func (r *Relay) Receive(from topology.InstanceID, payload []byte) {
	m, err := decode(payload)
	if err != nil {
		eventInvalidMessage.LogError(r.Log, err, "peer", from)
		r.handleInvalid(from, payload)
		return
	}
	r.recordReceived(from)
	switch {
	case m.Request != nil:
		go r.server.handle(from, m.Request)
	case m.Response != nil:
		r.handleResponse(from, m.Response.ID, m.Response)
	case m.Abort != nil:
		go r.server.abort(remoteSessionID{instance: from, id: *m.Abort})
	case len(m.Demand) > 0 || m.ReportSentAt > 0:
		r.OnDemand(from, share.Report{Demand: m.Demand, Excess: m.Excess, SentAt: m.ReportSentAt, Grant: m.Grant, Incarnation: m.Incarnation})
	case m.ConfigurationRequest != nil:
		r.handleConfigurationRequest(from, m.ConfigurationRequest)
	case m.ConfigurationResponse != nil:
		r.handleConfigurationResponse(from, m.ConfigurationResponse)
	case m.FollowRequest != nil:
		r.handleFollowRequest(from, m.FollowRequest)
	case m.FollowResponse != nil:
		r.handleFollowResponse(from, m.FollowResponse)
	case m.LoanRequest != nil:
		r.send(from, &message{LoanResponse: &loanResponse{ID: m.LoanRequest.ID, Granted: r.Engine.LendToken(m.LoanRequest.Customer)}})
	case m.LoanResponse != nil:
		r.handleLoanResponse(from, m.LoanResponse)
	case m.Ping != 0:
		r.send(from, &message{Pong: m.Ping})
	}
}

// recordReceived records that a peer is alive, as any message from it shows.
func (r *Relay) recordReceived(from topology.InstanceID) {
	r.mu.Lock()
	l := r.livenessOf(from)
	l.lastReceived, l.awaitingSince = r.Clock(), 0
	recovered := l.silent
	l.silent = false
	r.mu.Unlock()
	if recovered {
		eventOwnerResponds.Log(r.Log, "peer", from)
	}
}

// livenessOf returns the liveness of a peer and creates it if needed. The caller holds
// the lock.
func (r *Relay) livenessOf(id topology.InstanceID) *liveness {
	l, known := r.liveness[id]
	if !known {
		l = &liveness{}
		r.liveness[id] = l
	}
	return l
}

// handleResponse passes a response to the request that waits for it. A response from
// another instance than the requested one is ignored. A nil response says that none can be
// expected any more.
func (r *Relay) handleResponse(from topology.InstanceID, id uint64, resp *forwardResponse) {
	r.mu.Lock()
	pending := r.pending[id]
	expected := pending != nil && pending.to == from
	if expected {
		delete(r.pending, id)
	}
	r.mu.Unlock()
	if expected {
		pending.response <- resp
	}
}

// Disconnected is called after the last link to a peer was closed. It fails the
// requests that wait for the peer, and rolls back the peer's transactions here.
func (r *Relay) Disconnected(id topology.InstanceID) {
	r.mu.Lock()
	var failed []*pendingRequest
	for requestID, pending := range r.pending {
		if pending.to == id {
			failed = append(failed, pending)
			delete(r.pending, requestID)
		}
	}
	delete(r.liveness, id)
	r.mu.Unlock()
	for _, pending := range failed {
		pending.response <- nil
	}
	r.server.abortAll(id)
}

// Tick pings the owners that leave requests without a response, marks them as silent
// and resets their links, and rolls back idle transactions of other instances. The
// driver calls it every few tens of milliseconds.
func (r *Relay) Tick() {
	now := r.Clock()
	r.mu.Lock()
	for _, pending := range r.pending {
		if l := r.livenessOf(pending.to); l.awaitingSince == 0 && now-max(pending.sentAt, l.lastReceived) > pingDelay {
			l.awaitingSince = now
		}
	}
	var ping, reset, silenced []topology.InstanceID
	for id, l := range r.liveness {
		if l.awaitingSince == 0 {
			continue
		}
		if !l.silent && now-l.awaitingSince > silenceTimeout {
			l.silent = true
			silenced = append(silenced, id)
		}
		if now-l.awaitingSince > linkResetTimeout {
			l.awaitingSince = now
			reset = append(reset, id)
		}
		if now-l.lastPing >= pingInterval {
			l.lastPing = now
			ping = append(ping, id)
		}
	}
	r.mu.Unlock()
	r.server.abortExpired(now)
	for _, id := range silenced {
		eventOwnerSilent.Log(r.Log, "peer", id)
		r.failPendingReads(id)
	}
	for _, id := range reset {
		r.Link.Reset(id)
	}
	for _, id := range ping {
		r.send(id, &message{Ping: r.lastID.Add(1)})
	}
}

// available reports whether operations can be forwarded to a peer: it has a link, is
// not silent and has not declined one recently.
func (r *Relay) available(id topology.InstanceID) bool {
	if !r.Link.Reachable(id) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l, known := r.liveness[id]
	return !known || !l.silent && r.Clock() >= l.backoffUntil
}

// choose returns the instance to which an operation of a customer is forwarded: the
// customer's first available owner that reaches the primary, else its first available
// owner, else a backup owner, preferably this instance. It returns false when none is
// available.
func (r *Relay) choose(service topology.ServiceID, customer topology.CustomerID, excluded []topology.InstanceID) (chosen topology.InstanceID, ok bool) {
	table := r.routing.Load()
	owners := table.owners.Owners(service)
	for i := range owners {
		id := owners[(table.ownerOffsets[customer]+i)%len(owners)]
		if slices.Contains(excluded, id) || id != r.Self && !r.available(id) {
			continue
		}
		if !table.withoutPrimary[ServiceOwner{service, id}] {
			return id, true
		}
		if !ok {
			chosen, ok = id, true
		}
	}
	if ok || table.owners.MayConnect(r.Self, service) && !slices.Contains(excluded, r.Self) {
		return cmp.Or(chosen, r.Self), true
	}
	for _, id := range table.owners.BackupOwners(service) {
		if !slices.Contains(excluded, id) && r.available(id) {
			return id, true
		}
	}
	return "", false
}

// linkWaitTimeout is how long an operation waits for a link to an owner: the time that
// a link takes to open, and a margin.
const linkWaitTimeout = 300 * time.Millisecond

// linkPollInterval is the interval between checks whether a link has opened.
const linkPollInterval = 10 * time.Millisecond

// awaitInstance chooses an instance, and waits for a link when none is available yet.
// While this instance is not ready to run operations or its configuration is outdated,
// it is chosen only when no other instance is available.
func (r *Relay) awaitInstance(service topology.ServiceID, customer topology.CustomerID, excluded []topology.InstanceID) (topology.InstanceID, bool) {
	deadline := r.Clock() + linkWaitTimeout
	r.openOwnerLinks(service)
	if !r.Ready() || !r.configurationCurrent() {
		if to, ok := r.choose(service, customer, append(slices.Clone(excluded), r.Self)); ok {
			return to, ok
		}
	}
	for {
		to, ok := r.choose(service, customer, excluded)
		if ok || r.Clock() >= deadline {
			return to, ok
		}
		r.openOwnerLinks(service)
		time.Sleep(linkPollInterval)
	}
}

// openOwnerLinks has missing links to the owners of a service opened. Otherwise
// operations that a backup owner ran while an owner had no link would stay with the
// backup owner.
func (r *Relay) openOwnerLinks(service topology.ServiceID) {
	for _, id := range r.routing.Load().owners.Owners(service) {
		if id != r.Self {
			r.Link.RequestLink(id)
		}
	}
}

// refusedNoOwner is the refusal of an operation that no instance can run.
var refusedNoOwner = statement.Response{Code: statement.Busy, Detail: "no home of the service can be reached"}

// refusedExiting is the refusal of an operation that is not sent because this process exits.
var refusedExiting = statement.Response{Code: statement.Busy, Detail: "the process exits"}
