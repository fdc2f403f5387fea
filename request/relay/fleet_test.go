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
	"samphirehitch.example/samphirehitch/process/home"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/perform"
	"samphirehitch.example/samphirehitch/version/catalog"
)

type allRights struct{}

func (allRights) Keys(time.Duration) bool                                        { return true }
func (allRights) Primary(time.Duration, topology.ServiceID, store.Revision) bool { return true }
func (allRights) Age(time.Duration) time.Duration                                { return 0 }
func (allRights) Registered(time.Duration) bool                                  { return true }
func (allRights) End(topology.ServiceID) time.Duration                           { return time.Hour }
func (allRights) Reached(topology.ServiceID, topology.TargetID)                  {}
func (allRights) Unreachable(topology.ServiceID, topology.TargetID)              {}
func (allRights) Suspected(topology.ServiceID, topology.TargetID) bool           { return false }
func (allRights) Answered(perform.Outcome)                                       {}
func (allRights) Dial(context.Context, target.Endpoint) (target.Conn, error) {
	return nil, errors.New("no target")
}

// ranTarget is a target that runs everything and notes what it ran.
type ranTarget struct {
	allRights
	mu  sync.Mutex
	ran []string
	// age is how long ago the configuration was confirmed.
	age time.Duration
	// denials is how many checks of the right to the primary fail; suspecting
	// instances cannot reach it.
	denials    atomic.Int64
	suspecting atomic.Bool
	// hold, when set, keeps statements from being answered until it is closed.
	hold chan struct{}
}

func (r *ranTarget) Dial(context.Context, target.Endpoint) (target.Conn, error) {
	return &ranConn{target: r, state: statement.Idle}, nil
}

func (r *ranTarget) Primary(time.Duration, topology.ServiceID, store.Revision) bool {
	return r.denials.Add(-1) < 0
}

func (r *ranTarget) Suspected(topology.ServiceID, topology.TargetID) bool { return r.suspecting.Load() }

func (r *ranTarget) Age(time.Duration) time.Duration { return r.age }

func (r *ranTarget) texts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ran...)
}

type ranConn struct {
	target *ranTarget
	state  statement.TransactionState
}

func (c *ranConn) Do(s statement.Statement, _ time.Duration) (statement.Answer, error) {
	c.target.mu.Lock()
	c.target.ran = append(c.target.ran, s.Kind.String())
	hold := c.target.hold
	c.target.mu.Unlock()
	if hold != nil {
		<-hold
	}
	switch s.Kind {
	case statement.Begin:
		c.state = statement.Open
	case statement.Commit, statement.Rollback:
		c.state = statement.Idle
	}
	return statement.Answer{State: c.state, Signature: "x", Position: topology.Point{Term: 1, Position: 5}}, nil
}

func (c *ranConn) Pipeline(statements []statement.Statement, _ time.Duration) ([]statement.Answer, error) {
	answers := make([]statement.Answer, len(statements))
	for i := range answers {
		answers[i] = statement.Answer{State: c.state}
	}
	return answers, nil
}

func (c *ranConn) Resume(time.Duration) (statement.Answer, error) {
	return statement.Answer{}, errors.New("no answer")
}
func (c *ranConn) Alive() bool  { return true }
func (c *ranConn) Close() error { return nil }

// network carries messages between relays.
type network struct {
	mu     sync.Mutex
	relays map[topology.InstanceID]*Relay
	// cut loses messages to an instance; down says that it has no link.
	cut, down map[topology.InstanceID]bool
	// reopen lets wanted links open again.
	reopen bool
	// mute instances take no configuration from peers.
	mute bool
	// unfit instances have no fresh rights.
	unfit map[topology.InstanceID]bool
}

type end struct {
	network *network
	self    topology.InstanceID
}

func (e end) Send(to topology.InstanceID, _ peer.Kind, payload any) {
	data, err := cbor.Marshal(payload)
	if err != nil {
		panic(err)
	}
	e.network.mu.Lock()
	r, lost := e.network.relays[to], e.network.cut[to] || e.network.cut[e.self] || e.network.down[to]
	e.network.mu.Unlock()
	if !lost {
		r.Receive(e.self, data)
	}
}

func (e end) Reachable(id topology.InstanceID) bool {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return !e.network.down[id]
}

func (end) Reset(topology.InstanceID) {}

// Want opens a link that has ended, when the network allows it.
func (e end) Want(id topology.InstanceID) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.reopen {
		delete(e.network.down, id)
	}
}

// fleet is two homes, h1 and h2, and an instance e that has callers.
type fleet struct {
	t       *testing.T
	timeout time.Duration
	clock   clock.Clock
	network *network
	targets map[topology.InstanceID]*ranTarget
	told    map[topology.InstanceID]share.Needs
	// confirmed is what homes said of the configuration.
	confirmed []confirmation
	// declined counts the homes that declined work or gave no answer.
	declined atomic.Int64
	// toldAt is when configurations that peers told were confirmed.
	toldAt []time.Duration
}

type confirmation struct {
	revision store.Revision
	at       time.Duration
}

// generous is a statement timeout that no busy machine reaches.
const generous = 20 * time.Second

func newFleet(t *testing.T) *fleet { return newFleetWith(t, generous, clock.System()) }

func newFleetWith(t *testing.T, timeout time.Duration, now clock.Clock) *fleet {
	f := &fleet{t: t, timeout: timeout, clock: now, targets: make(map[topology.InstanceID]*ranTarget), told: make(map[topology.InstanceID]share.Needs),
		network: &network{relays: make(map[topology.InstanceID]*Relay), cut: make(map[topology.InstanceID]bool), down: make(map[topology.InstanceID]bool), unfit: make(map[topology.InstanceID]bool)}}
	for _, id := range []topology.InstanceID{"h1", "h2", "e"} {
		f.targets[id] = &ranTarget{}
		f.start(id)
	}
	return f
}

// start starts a process of an instance, in place of an earlier one.
func (f *fleet) start(id topology.InstanceID) {
	engine := f.newEngine(f.targets[id])
	r := New(Dependencies{Self: id, Born: 1, Engine: engine, Link: end{f.network, id}, Clock: engine.Clock, Log: logr.Discard(),
		Stopping: func() bool { return false },
		Fit: func() bool {
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			return !f.network.unfit[id]
		},
		OnDeclined: func() { f.declined.Add(1) },
		Configuration: func() store.Entry {
			return store.Entry{Revision: engine.Catalog().Revision, Value: []byte("of " + id)}
		},
		OnConfiguration: func(_ topology.InstanceID, revision store.Revision, _ []byte, at time.Duration) {
			f.takeConfiguration(engine, revision, at)
		},
		OnConfirmed: func(_ topology.InstanceID, revision store.Revision, at time.Duration) {
			f.confirmed = append(f.confirmed, confirmation{revision, at})
		},
		OnNeeds: func(from topology.InstanceID, needs share.Needs) { f.told[from] = needs }})
	homes := home.Assign([]topology.ServiceID{"s"}, []home.Instance{{ID: "h1", Processor: 1}, {ID: "h2", Processor: 1}})
	r.Place(homes, map[topology.CustomerID]int{"k": 0}, nil)
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.relays[id] = r
}

func (f *fleet) newEngine(ran *ranTarget) *perform.Engine {
	engine := perform.NewEngine(perform.Dependencies{FailureDomain: "x", RateWindow: time.Second, Clock: f.clock,
		Tenure: ran, Dialer: ran, Reachability: ran, Observer: ran, Log: logr.Discard()})
	engine.SetCatalog(&catalog.Catalog{Version: 1, Revision: 7,
		Routes: map[string]catalog.Route{"d": {Service: "s", Consistency: catalog.Primary,
			StatementTimeout: f.timeout, Objective: 100 * time.Millisecond}},
		Services:  map[topology.ServiceID]catalog.Service{"s": {ID: "s"}},
		Customers: map[topology.CustomerID]catalog.Customer{"k": {ID: "k"}},
		Keys:      map[string]topology.CustomerID{"secret": "k"}})
	engine.SetTargets("s", map[topology.TargetID]directory.Target{"a": {ID: "a", Service: "s", Slots: 2}})
	engine.SetUses([]topology.ServiceID{"s"})
	engine.SetShares(map[topology.ServiceID]int{"s": 4}, nil)
	engine.SetRecord("s", failover.Record{Primary: "a", Term: 1}, 1)
	return engine
}

// takeConfiguration puts a configuration that a peer told in force.
func (f *fleet) takeConfiguration(engine *perform.Engine, revision store.Revision, at time.Duration) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	if f.network.mute {
		return
	}
	newer := *engine.Catalog()
	newer.Version, newer.Revision = 2, revision
	engine.SetCatalog(&newer)
	f.toldAt = append(f.toldAt, at)
}

// ticking returns a clock that goes a millisecond on each time it is read, so that
// patience ends after as many looks, however fast the machine is.
func ticking() clock.Clock {
	var looks atomic.Int64
	return func() time.Duration { return time.Minute + time.Duration(looks.Add(1))*time.Millisecond }
}

// homes returns the customer's home and the other one.
func (f *fleet) homes() (first, other topology.InstanceID) {
	homes := f.network.relays["e"].places.Load().homes.Homes("s")
	return homes[0], homes[1]
}

func (f *fleet) converse() *perform.Conversation {
	e := f.network.relays["e"]
	return e.Engine.Converse(client.NewSession(1, "d", "secret"), e)
}

func (f *fleet) run(c *perform.Conversation, kind statement.Kind, want statement.Code) {
	f.t.Helper()
	if answer := c.Run(statement.Statement{Kind: kind, ID: "1", Text: "t"}); answer.Code != want {
		f.t.Fatalf("%s: %s (%s), want %s", kind, answer.Code, answer.Detail, want)
	}
}

func (f *fleet) lose(id topology.InstanceID, how map[topology.InstanceID]bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	how[id] = true
}
