package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// alwaysAuthorized stands for the engine's dependencies of an instance with full
// authority and without targets.
type alwaysAuthorized struct{}

func (alwaysAuthorized) MayAcceptKeys(time.Duration) bool { return true }
func (alwaysAuthorized) MayUsePrimary(time.Duration, topology.ServiceID, store.Revision) bool {
	return true
}
func (alwaysAuthorized) ConfirmationAge(time.Duration) time.Duration { return 0 }
func (alwaysAuthorized) RegistrationValid(time.Duration) bool        { return true }
func (alwaysAuthorized) PrimaryExpiry(topology.ServiceID, store.Revision) time.Duration {
	return time.Hour
}
func (alwaysAuthorized) ReportReachable(topology.ServiceID, topology.TargetID)   {}
func (alwaysAuthorized) ReportUnreachable(topology.ServiceID, topology.TargetID) {}
func (alwaysAuthorized) IsSuspected(topology.ServiceID, topology.TargetID) bool  { return false }
func (alwaysAuthorized) StatementCompleted(engine.Outcome)                       {}
func (alwaysAuthorized) Dial(context.Context, target.Endpoint) (target.Conn, error) {
	return nil, errors.New("no target")
}

// recordingTarget is a target that runs every statement and records its kind. It also
// stands for its instance's authority.
type recordingTarget struct {
	alwaysAuthorized
	mu    sync.Mutex
	kinds []string
	// confirmationAge is how long ago the configuration was confirmed.
	confirmationAge time.Duration
	// authorityDenials is the number of checks of the authority to use the primary that
	// still fail.
	authorityDenials atomic.Int64
	// primarySuspected says that the instance cannot reach the primary.
	primarySuspected atomic.Bool
	// block, when set, delays responses until it is closed.
	block chan struct{}
	// respond, when set, completes the response to a statement.
	respond func(statement.Statement, *statement.Response)
}

func (r *recordingTarget) Dial(context.Context, target.Endpoint) (target.Conn, error) {
	return &recordingConn{target: r, state: statement.Idle}, nil
}

func (r *recordingTarget) MayUsePrimary(time.Duration, topology.ServiceID, store.Revision) bool {
	return r.authorityDenials.Add(-1) < 0
}

func (r *recordingTarget) IsSuspected(topology.ServiceID, topology.TargetID) bool {
	return r.primarySuspected.Load()
}

func (r *recordingTarget) ConfirmationAge(time.Duration) time.Duration { return r.confirmationAge }

func (r *recordingTarget) received() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.kinds...)
}

// setRespond sets a function that completes the responses, or none.
func (r *recordingTarget) setRespond(respond func(statement.Statement, *statement.Response)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.respond = respond
}

type recordingConn struct {
	target *recordingTarget
	state  statement.TransactionState
}

func (c *recordingConn) Do(s statement.Statement, _ time.Duration) (statement.Response, error) {
	c.target.mu.Lock()
	c.target.kinds = append(c.target.kinds, s.Kind.String())
	block, respond := c.target.block, c.target.respond
	c.target.mu.Unlock()
	if block != nil {
		<-block
	}
	switch s.Kind {
	case statement.Begin:
		c.state = statement.Open
	case statement.Commit, statement.Rollback:
		c.state = statement.Idle
	}
	response := statement.Response{State: c.state, Signature: "x", LogEnd: topology.Point{Term: 1, Position: 5}}
	if respond != nil {
		respond(s, &response)
	}
	return response, nil
}

func (c *recordingConn) Pipeline(statements []statement.Statement, _ time.Duration) ([]statement.Response, error) {
	c.target.mu.Lock()
	respond := c.target.respond
	c.target.mu.Unlock()
	responses := make([]statement.Response, len(statements))
	for i := range responses {
		responses[i] = statement.Response{State: c.state}
		if respond != nil {
			respond(statements[i], &responses[i])
		}
	}
	return responses, nil
}

func (c *recordingConn) ResumeRead(time.Duration) (statement.Response, error) {
	return statement.Response{}, errors.New("no response")
}
func (c *recordingConn) Alive() bool    { return true }
func (c *recordingConn) Reusable() bool { return true }
func (c *recordingConn) Close() error   { return nil }

// network carries messages between relays.
type network struct {
	mu     sync.Mutex
	relays map[topology.InstanceID]*Relay
	// partitioned instances have links on which every message is lost; disconnected
	// ones have no links.
	partitioned, disconnected map[topology.InstanceID]bool
	// allowReconnect says that a requested link to a disconnected instance opens.
	allowReconnect bool
	// dropConfigurations says that instances apply no configuration from peers.
	dropConfigurations bool
	// alter, when set, returns the message that an instance receives in place of another.
	alter func(receiver topology.InstanceID, data []byte) []byte
	// notReady instances may not run operations themselves.
	notReady map[topology.InstanceID]bool
}

// closeLink has both sides of a link see it closed, as after a frame that one cannot read.
func (n *network) closeLink(a, b topology.InstanceID) {
	n.mu.Lock()
	first, second := n.relays[a], n.relays[b]
	n.mu.Unlock()
	first.Disconnected(b)
	second.Disconnected(a)
}

// networkLink is the Link of one instance.
type networkLink struct {
	network *network
	self    topology.InstanceID
}

func (l networkLink) Send(to topology.InstanceID, _ peer.Kind, payload any) {
	data, err := cbor.Marshal(payload)
	if err != nil {
		panic(err)
	}
	l.network.mu.Lock()
	r, dropped := l.network.relays[to], l.network.partitioned[to] || l.network.partitioned[l.self] || l.network.disconnected[to]
	alter := l.network.alter
	l.network.mu.Unlock()
	if alter != nil {
		data = alter(to, data)
	}
	if len(data) > peer.MaxFrameBytes || cbor.Wellformed(data) != nil {
		l.network.closeLink(l.self, to)
		return
	}
	if !dropped {
		r.Receive(l.self, data)
	}
}

func (l networkLink) Reachable(id topology.InstanceID) bool {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	return !l.network.disconnected[id]
}

func (networkLink) Reset(topology.InstanceID) {}

// RequestLink opens the link to a disconnected instance, if the network allows it.
func (l networkLink) RequestLink(id topology.InstanceID) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.allowReconnect {
		delete(l.network.disconnected, id)
	}
}

// fleet is two owners of a service, h1 and h2, and an instance e that forwards its
// callers' operations.
type fleet struct {
	t       *testing.T
	timeout time.Duration
	clock   clock.Clock
	network *network
	targets map[topology.InstanceID]*recordingTarget
	// demands is the last demand that each instance has sent.
	demands map[topology.InstanceID]share.Report
	// confirmed holds the confirmations of the configuration in owners' responses.
	confirmed []confirmation
	// forwardFailures counts operations that an owner declined or did not respond to.
	forwardFailures atomic.Int64
	// configurationsConfirmedAt holds the times of confirmation of the configurations
	// that peers sent.
	configurationsConfirmedAt []time.Duration
}

type confirmation struct {
	version uint64
	at      time.Duration
}

// longTimeout is a statement timeout that is not exceeded even on a busy machine.
const longTimeout = 20 * time.Second

func newFleet(t *testing.T) *fleet { return newFleetWith(t, longTimeout, clock.System()) }

func newFleetWith(t *testing.T, timeout time.Duration, now clock.Clock) *fleet {
	f := &fleet{t: t, timeout: timeout, clock: now, targets: make(map[topology.InstanceID]*recordingTarget), demands: make(map[topology.InstanceID]share.Report),
		network: &network{relays: make(map[topology.InstanceID]*Relay), partitioned: make(map[topology.InstanceID]bool), disconnected: make(map[topology.InstanceID]bool), notReady: make(map[topology.InstanceID]bool)}}
	for _, id := range []topology.InstanceID{"h1", "h2", "e"} {
		f.targets[id] = &recordingTarget{}
		f.start(id)
	}
	return f
}

// start starts a process of an instance, which replaces an earlier one.
func (f *fleet) start(id topology.InstanceID) {
	eng := f.newEngine(f.targets[id])
	r := New(Dependencies{Self: id, Incarnation: 1, Engine: eng, Link: networkLink{f.network, id}, Clock: eng.Clock, Log: logr.Discard(),
		Stopping: func() bool { return false }, AdmitsStatement: func(time.Duration) bool { return true },
		Ready: func() bool {
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			return !f.network.notReady[id]
		},
		OnRoutingOutdated: func() { f.forwardFailures.Add(1) },
		Configuration: func() store.Entry {
			return store.Entry{Revision: eng.Catalog().Revision, Value: []byte("of " + id)}
		},
		OnConfiguration: func(_ topology.InstanceID, revision store.Revision, _ []byte, confirmedAt time.Duration) {
			f.applyConfiguration(eng, revision, confirmedAt)
		},
		OnConfigurationConfirmed: func(_ topology.InstanceID, version uint64, confirmedAt time.Duration) {
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			f.confirmed = append(f.confirmed, confirmation{version, confirmedAt})
		},
		OnDemand: func(from topology.InstanceID, report share.Report) { f.demands[from] = report }})
	owners := owner.Assign([]topology.ServiceID{"s"}, []owner.Instance{{ID: "h1", CPUShare: 1}, {ID: "h2", CPUShare: 1}})
	r.SetRouting(owners, map[topology.CustomerID]int{"k": 0}, nil)
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.relays[id] = r
}

func (f *fleet) newEngine(recorder *recordingTarget) *engine.Engine {
	eng := engine.NewEngine(engine.Dependencies{FailureDomain: "x", RateWindow: time.Second, Clock: f.clock,
		Authority: recorder, Dialer: recorder, Reachability: recorder, Observer: recorder, Log: logr.Discard()})
	eng.SetCatalog(&catalog.Catalog{Version: 1, Revision: 7,
		Routes: map[string]catalog.Route{"d": {Service: "s", Consistency: catalog.Primary,
			StatementTimeout: f.timeout, LatencyObjective: 100 * time.Millisecond}},
		Services:  map[topology.ServiceID]catalog.Service{"s": {ID: "s"}},
		Customers: map[topology.CustomerID]catalog.Customer{"k": {ID: "k"}},
		Keys:      map[string]topology.CustomerID{"secret": "k"}})
	eng.SetTargets("s", map[topology.TargetID]directory.Target{"a": {ID: "a", Service: "s", Slots: 2}})
	eng.SetDeclaredServices([]topology.ServiceID{"s"})
	eng.SetShares(map[topology.ServiceID]int{"s": 4}, nil)
	eng.SetRecord("s", failover.Record{Primary: "a", Term: 1}, 1)
	return eng
}

// applyConfiguration puts a configuration from a peer in force.
func (f *fleet) applyConfiguration(eng *engine.Engine, revision store.Revision, confirmedAt time.Duration) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	if f.network.dropConfigurations {
		return
	}
	newer := *eng.Catalog()
	newer.Version, newer.Revision = 2, revision
	eng.SetCatalog(&newer)
	f.configurationsConfirmedAt = append(f.configurationsConfirmedAt, confirmedAt)
}

// stepClock returns a clock that advances by a millisecond whenever it is read, so that
// a timeout ends after the same number of polls at any speed of the machine.
func stepClock() clock.Clock {
	var reads atomic.Int64
	return func() time.Duration { return time.Minute + time.Duration(reads.Add(1))*time.Millisecond }
}

// owners returns the customer's first owner and the other one.
func (f *fleet) owners() (first, other topology.InstanceID) {
	owners := f.network.relays["e"].routing.Load().owners.Owners("s")
	return owners[0], owners[1]
}

func (f *fleet) newSession() *engine.Session {
	e := f.network.relays["e"]
	return e.Engine.NewSession(client.NewSession(1, "d", "secret"), e)
}

// startBlockedRead starts a read and returns when it has reached the target of an owner, which
// responds once release is called.
func (f *fleet) startBlockedRead(owner topology.InstanceID) (responses chan statement.Response, release func()) {
	block := make(chan struct{})
	f.targets[owner].block = block
	responses = make(chan statement.Response, 1)
	go func() { responses <- f.newSession().Run(statement.Statement{Kind: statement.Read, ID: "1", Text: "t"}) }()
	for len(f.targets[owner].received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return responses, func() { close(block) }
}

// openTransaction returns a session with an open transaction that has written.
func (f *fleet) openTransaction() *engine.Session {
	f.t.Helper()
	session := f.newSession()
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	return session
}

func (f *fleet) mustRun(session *engine.Session, kind statement.Kind, want statement.Code) {
	f.t.Helper()
	if response := session.Run(statement.Statement{Kind: kind, ID: "1", Text: "t"}); response.Code != want {
		f.t.Fatalf("%s: %s (%s), want %s", kind, response.Code, response.Detail, want)
	}
}

// awaitNoOperations waits until an instance runs no operations of others.
func (f *fleet) awaitNoOperations(id topology.InstanceID) {
	for f.network.relays[id].HasRemoteOperations() {
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) setFault(id topology.InstanceID, faults map[topology.InstanceID]bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	faults[id] = true
}
