package engine

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// fakeAuthority has the authority that a test sets.
type fakeAuthority struct {
	mu      sync.Mutex
	keys    bool
	primary bool
	// expired says that the instance's registration has expired.
	expired bool
}

func (f *fakeAuthority) RegistrationValid(time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.expired
}

func (f *fakeAuthority) MayAcceptKeys(time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys
}

func (f *fakeAuthority) MayUsePrimary(time.Duration, topology.ServiceID, store.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.primary
}

func (f *fakeAuthority) ConfirmationAge(time.Duration) time.Duration { return 0 }

func (f *fakeAuthority) PrimaryExpiry(topology.ServiceID, store.Revision) time.Duration {
	return time.Hour
}

func (f *fakeAuthority) setPrimary(valid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.primary = valid
}

func (f *fakeAuthority) setKeys(valid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys = valid
}

// receivedStatement is a statement as a target received it.
type receivedStatement struct {
	target   topology.TargetID
	customer topology.CustomerID
	conn     int
	statement.Statement
}

// fakeTargets is a dialer of targets that record their statements and respond as a
// test sets.
type fakeTargets struct {
	mu         sync.Mutex
	statements []receivedStatement
	opened     int
	// respond returns the response to a statement. A response without a state, or a
	// nil respond, means success.
	respond func(s receivedStatement) (statement.Response, error)
	// late, if not nil, returns the late response to a statement that timed out.
	late func() (statement.Response, error)
	// closed holds the numbers of the closed connections.
	closed map[int]bool
	// spent holds the numbers of the connections on which nothing more may be sent.
	spent map[int]bool
}

func (f *fakeTargets) Dial(_ context.Context, endpoint target.Endpoint) (target.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opened++
	return &fakeConn{targets: f, endpoint: endpoint, number: f.opened, state: statement.Idle}, nil
}

// openConnections returns the number of connections that were opened and not closed.
func (f *fakeTargets) openConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened - len(f.closed)
}

// received returns the statements of the given kinds in the order of their arrival.
func (f *fakeTargets) received(kinds ...statement.Kind) []receivedStatement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []receivedStatement
	for _, s := range f.statements {
		for _, kind := range kinds {
			if s.Kind == kind {
				found = append(found, s)
			}
		}
	}
	return found
}

type fakeConn struct {
	targets  *fakeTargets
	endpoint target.Endpoint
	number   int
	state    statement.TransactionState
}

func (c *fakeConn) Do(s statement.Statement, _ time.Duration) (statement.Response, error) {
	f := c.targets
	f.mu.Lock()
	defer f.mu.Unlock()
	received := receivedStatement{target: c.endpoint.Target, customer: c.endpoint.Customer, conn: c.number, Statement: s}
	f.statements = append(f.statements, received)
	if f.respond != nil {
		response, err := f.respond(received)
		if err != nil || response.State != 0 {
			c.state = response.State
			return response, err
		}
	}
	switch s.Kind {
	case statement.Begin, statement.BeginReadOnly:
		c.state = statement.Open
	case statement.Commit, statement.Rollback:
		c.state = statement.Idle
	}
	response := statement.Response{State: c.state, LogEnd: topology.Point{Term: 1, Position: 10}}
	if s.ID != "" {
		response.Signature = "by " + string(c.endpoint.Target)
	}
	return response, nil
}

func (c *fakeConn) Pipeline(statements []statement.Statement, timeout time.Duration) ([]statement.Response, error) {
	var responses []statement.Response
	for _, s := range statements {
		response, err := c.Do(s, timeout)
		if err != nil {
			return nil, err
		}
		responses = append(responses, response)
	}
	return responses, nil
}

func (c *fakeConn) ResumeRead(time.Duration) (statement.Response, error) {
	if c.targets.late != nil {
		return c.targets.late()
	}
	return statement.Response{}, brokenError(true)
}

func (c *fakeConn) Alive() bool { return true }

func (c *fakeConn) Reusable() bool {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	return !c.targets.spent[c.number]
}

func (c *fakeConn) Close() error {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	if c.targets.closed == nil {
		c.targets.closed = make(map[int]bool)
	}
	c.targets.closed[c.number] = true
	return nil
}

func brokenError(sent bool) error {
	return &target.Error{Step: "test", Peer: "x", Failure: target.ConnectionBroken, MaybeSent: sent, Err: errors.New("broken")}
}

// exchangeError returns an error of an exchange that departs from the protocol.
func exchangeError(failure target.Failure, sent bool) error {
	return &target.Error{Step: "test", Peer: "x", Failure: failure, MaybeSent: sent, Err: errors.New(failure.String())}
}

type noopReporter struct{}

func (noopReporter) ReportReachable(topology.ServiceID, topology.TargetID)   {}
func (noopReporter) ReportUnreachable(topology.ServiceID, topology.TargetID) {}
func (noopReporter) IsSuspected(topology.ServiceID, topology.TargetID) bool  { return false }
func (noopReporter) StatementCompleted(Outcome)                              {}

// harness is an engine with fake targets, primary a and replicas b and c, and a clock
// that only the test advances.
type harness struct {
	t         *testing.T
	engine    *Engine
	targets   *fakeTargets
	authority *fakeAuthority
	mu        sync.Mutex
	now       time.Duration
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, targets: &fakeTargets{}, authority: &fakeAuthority{keys: true, primary: true}, now: time.Minute}
	h.engine = NewEngine(Dependencies{
		FailureDomain: "x", RateWindow: 5 * time.Second, Clock: h.clock, Authority: h.authority, Dialer: h.targets,
		Reachability: noopReporter{}, Observer: noopReporter{}, Log: logr.Discard(),
	})
	route := func(level catalog.Consistency) catalog.Route {
		return catalog.Route{Service: "s", Consistency: level, MaxStaleness: 1500 * time.Millisecond,
			StatementTimeout: 20 * time.Second, LatencyObjective: 100 * time.Millisecond}
	}
	h.engine.SetCatalog(&catalog.Catalog{
		Version: 1,
		Routes: map[string]catalog.Route{
			"strict": route(catalog.Primary), "bounded": route(catalog.Bounded), "session": route(catalog.Session),
		},
		Services:  map[topology.ServiceID]catalog.Service{"s": {ID: "s", MaxConnections: 16}},
		Customers: map[topology.CustomerID]catalog.Customer{"k": {ID: "k"}},
		Keys:      map[string]topology.CustomerID{"secret": "k"},
	})
	h.setTargets("a", "b", "c")
	h.engine.SetDeclaredServices([]topology.ServiceID{"s"})
	h.engine.SetShares(map[topology.ServiceID]int{"s": 4}, nil)
	h.engine.SetRecord("s", failover.Record{Primary: "a", Term: 1}, 1)
	return h
}

func (h *harness) clock() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *harness) advance(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now += d
}

func (h *harness) setTargets(ids ...topology.TargetID) {
	targets := make(map[topology.TargetID]directory.Target)
	for _, id := range ids {
		targets[id] = directory.Target{ID: id, Service: "s", FailureDomain: "x", Slots: 2, Role: topology.RoleReplica}
	}
	h.engine.SetTargets("s", targets)
}

func (h *harness) session(number uint64, database string) *Session {
	return h.engine.NewSession(client.NewSession(number, database, "secret"), h.engine)
}

func newStatement(kind statement.Kind, text string) statement.Statement {
	return statement.Statement{Kind: kind, ID: "id " + text, Text: text}
}

// mustRun runs a statement and fails the test unless its response has the wanted code.
func (h *harness) mustRun(session *Session, st statement.Statement, want statement.Code) statement.Response {
	h.t.Helper()
	response := session.Run(st)
	if response.Code != want {
		h.t.Fatalf("%s: %s (%s), want %s", st.Kind, response.Code, response.Detail, want)
	}
	return response
}
