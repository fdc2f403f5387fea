package relay

import (
	"slices"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

// remoteSessionID identifies a session of a caller of another instance, or one of its
// transactions.
type remoteSessionID struct {
	instance topology.InstanceID
	id       sessionID
}

// session returns the ID of the session without a transaction.
func (id remoteSessionID) session() remoteSessionID {
	return id.withTransaction(0)
}

// withTransaction returns the ID of a transaction of the session.
func (id remoteSessionID) withTransaction(number uint64) remoteSessionID {
	id.id.Transaction = number
	return id
}

// server runs operations that other instances forward, with this instance's engine. It
// is safe for concurrent use.
type server struct {
	relay *Relay

	mu sync.Mutex // guards the fields below
	// transactions holds the sessions with an open transaction here, or with a request
	// that opens one.
	transactions map[remoteSessionID]*remoteSession
	// numbers tells late requests of ended transactions apart.
	numbers transactionNumbers
	// running is the number of requests in progress.
	running int
	// sessionNumbers holds the numbers by which the engine knows other instances'
	// sessions.
	sessionNumbers map[remoteSessionID]uint64
	lastNumber     uint64
}

// remoteSession is the engine's session for a caller of another instance. It lasts for
// one statement or one transaction.
type remoteSession struct {
	// mu is held while a statement or a rollback runs.
	mu      sync.Mutex
	session *engine.Session
	// aborted is set once the transaction was aborted from here, guarded by mu. A request
	// that was received before must not run then.
	aborted bool
	// lastRequest is when the last request was received, guarded by the server's lock.
	lastRequest time.Duration
}

// keyWithdrawn reports whether the key of the open transaction was withdrawn. While a
// statement or a rollback runs it returns false.
func (r *remoteSession) keyWithdrawn() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	return r.session.KeyWithdrawn()
}

// idleMargin is added to the callers' limit on idle transactions before a transaction
// of another instance is rolled back here. That instance aborts it at the limit; this
// covers abort messages that were lost or overtaken by a request.
const idleMargin = time.Second

// abortExpired rolls back transactions that have been idle for longer than their instance
// would allow, those whose key was withdrawn, and those whose statements are no longer
// admitted by a shutdown.
func (s *server) abortExpired(now time.Duration) {
	var limit time.Duration
	if c := s.relay.Engine.Catalog(); c != nil && c.TransactionIdleTimeout > 0 {
		limit = c.TransactionIdleTimeout + idleMargin
	}
	stopping := s.relay.Stopping()
	s.mu.Lock()
	var expired []remoteSessionID
	for id, remote := range s.transactions {
		if limit > 0 && now-remote.lastRequest > limit || stopping && !s.admits(remote) || remote.keyWithdrawn() {
			expired = append(expired, id)
		}
	}
	s.mu.Unlock()
	for _, id := range expired {
		go s.abort(id)
	}
}

// admits reports whether a statement of a session may be run.
func (s *server) admits(remote *remoteSession) bool {
	return s.relay.AdmitsStatement(remote.session.StatementTimeout())
}

// firstRemoteNumber is above the session numbers of this instance's own callers.
const firstRemoteNumber = 1 << 40

// maxSessionNumbers bounds the size of the table of session numbers.
const maxSessionNumbers = 8192

func newServer(r *Relay) *server {
	return &server{relay: r, transactions: make(map[remoteSessionID]*remoteSession), numbers: newTransactionNumbers(), sessionNumbers: make(map[remoteSessionID]uint64), lastNumber: firstRemoteNumber}
}

// sessionNumber returns the engine's number for a session. It is the same for all
// requests of the session, unless the table was full and cleared in between.
func (s *server) sessionNumber(id remoteSessionID) uint64 {
	id = id.session()
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, known := s.sessionNumbers[id]; known {
		return n
	}
	if len(s.sessionNumbers) >= maxSessionNumbers {
		clear(s.sessionNumbers)
	}
	s.lastNumber++
	s.sessionNumbers[id] = s.lastNumber
	return s.lastNumber
}

// handle runs a request and sends the response.
func (s *server) handle(from topology.InstanceID, req *forwardRequest) {
	s.addRunning(1)
	defer s.addRunning(-1)
	resp := s.run(from, req)
	err := s.respond(from, req.Statement.ID, resp)
	if err == nil {
		return
	}
	eventNotSent.LogError(s.relay.Log, err, "request", req.Statement.ID, "peer", from)
	s.relay.send(from, &message{Response: s.withoutResult(from, req, resp)})
}

func (s *server) addRunning(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += delta
}

// run runs a request, unless this instance has to decline it.
func (s *server) run(from topology.InstanceID, req *forwardRequest) *forwardResponse {
	id := remoteSessionID{instance: from, id: req.Session}
	if !req.InTransaction {
		callerSession, writes := operationOf(req)
		if !s.relay.Engine.CanRun(callerSession, writes) {
			return &forwardResponse{ID: req.ID, Declined: true, NoPrimary: true}
		}
		if req.DeclineUnlessOwner && s.leavesToOwners(callerSession, writes) {
			return &forwardResponse{ID: req.ID, Declined: true, NotOwner: true}
		}
	}
	remote, ok := s.sessionFor(id, req)
	if !ok {
		return &forwardResponse{ID: req.ID, Declined: true}
	}
	return s.runIn(remote, id, req)
}

// runIn runs a request in a session, unless its transaction has ended meanwhile.
func (s *server) runIn(remote *remoteSession, id remoteSessionID, req *forwardRequest) *forwardResponse {
	remote.mu.Lock()
	defer remote.mu.Unlock()
	session := remote.session
	if remote.aborted || req.InTransaction && session.State() == statement.Idle {
		return &forwardResponse{ID: req.ID, Declined: true}
	}
	callerSession := session.Client
	callerSession.Values = req.Values
	if req.Prepared != nil {
		callerSession.AddPrepared(req.Statement.Name, *req.Prepared)
	}
	callerSession.Floor, callerSession.FloorSentAt = req.Floor, s.relay.Clock()-req.FloorAge
	var outcome engine.Outcome
	session.ReportTo(func(o engine.Outcome) { outcome = o })
	response, begun := s.begin(session, req)
	if begun {
		response = session.Run(req.Statement)
	}
	s.forgetUnlessOpen(id, remote)
	resp := &forwardResponse{ID: req.ID, Result: response, Placement: placementOf(outcome), Floor: callerSession.Floor, FloorAge: s.relay.Clock() - callerSession.FloorSentAt, ConfigVersion: outcome.ConfigVersion}
	resp.ConfirmedVersion, resp.ConfirmationAge = s.relay.confirmedConfiguration()
	resp.NotOwner = outcome.Service != "" && !s.mayConnect(outcome.Service)
	return resp
}

// operationOf returns a session that stands for that of a request, and whether the request writes
// or opens a transaction for writes.
func operationOf(req *forwardRequest) (s *client.Session, writes bool) {
	s = req.callerSession()
	return s, req.Begin == beginReadWrite || s.MayWrite(req.Statement)
}

// callerSession returns a session with the prepared statement of the request.
func (req *forwardRequest) callerSession() *client.Session {
	session := client.NewSession(0, req.Database, req.Key)
	if req.Prepared != nil {
		session.AddPrepared(req.Statement.Name, *req.Prepared)
	}
	return session
}

// sessionFor returns the session in which the request runs, or false when this
// instance cannot run it: the transaction is not open here or no longer admitted, the
// instance is shutting down or not ready, or its configuration is older than the request's.
func (s *server) sessionFor(id remoteSessionID, req *forwardRequest) (*remoteSession, bool) {
	if req.InTransaction {
		s.mu.Lock()
		defer s.mu.Unlock()
		remote, open := s.transactions[id]
		if !open || !s.admits(remote) {
			return nil, false
		}
		remote.lastRequest = s.relay.Clock()
		return remote, true
	}
	if s.relay.Stopping() || !s.relay.awaitConfiguration(id.instance, req.ConfigVersion) || !s.relay.Ready() {
		return nil, false
	}
	callerSession := client.NewSession(s.sessionNumber(id), req.Database, req.Key)
	remote := &remoteSession{session: s.relay.Engine.NewSession(callerSession, s.relay.Engine)}
	if req.Begin != beginNone && !s.addTransaction(id, remote) {
		return nil, false
	}
	return remote, true
}

// leavesToOwners reports whether an operation should be tried at other instances first: this one
// knows that it does not own the service, and is no backup owner either or would have to wait for
// a connection. Others may take an instance that has just started for an owner before it does
// itself, and one that has ceased to be an owner after it knows: their operations would wait for
// the few connections of a backup owner, behind transactions.
func (s *server) leavesToOwners(callerSession *client.Session, writes bool) bool {
	service, known := s.relay.Engine.ServiceOf(callerSession)
	if !known || s.owns(service) {
		return false
	}
	return !s.mayConnect(service) || s.relay.Engine.HasToWait(callerSession, writes)
}

// owns reports whether this instance owns a service, by the registrations that it knows.
func (s *server) owns(service topology.ServiceID) bool {
	return slices.Contains(s.relay.routing.Load().owners.Owners(service), s.relay.Self)
}

// mayConnect reports whether this instance owns a service or is a backup owner, by the
// registrations that it knows.
func (s *server) mayConnect(service topology.ServiceID) bool {
	return s.relay.routing.Load().owners.MayConnect(s.relay.Self, service)
}

// addTransaction adds a transaction that a request opens, and aborts the session's earlier
// one: a session opens a transaction only after that has ended. It returns false if the request
// is late: the transaction was aborted, or a later one of the session was begun.
func (s *server) addTransaction(id remoteSessionID, remote *remoteSession) bool {
	s.mu.Lock()
	earlier := id.withTransaction(s.numbers.latest(id.session()))
	if number := id.id.Transaction; number != 0 && !s.numbers.advance(id.session(), number) {
		s.mu.Unlock()
		return false
	}
	// One step under the lock, or an abort that comes while the earlier transaction ends is lost.
	replaced := s.transactions[earlier]
	delete(s.transactions, earlier)
	remote.lastRequest = s.relay.Clock()
	s.transactions[id] = remote
	s.mu.Unlock()
	replaced.abort()
	return true
}

// begin opens the transaction that a request opens, if any, and reports whether the
// statement may run. After a refusal the caller has a failed transaction.
func (s *server) begin(session *engine.Session, req *forwardRequest) (statement.Response, bool) {
	var kind statement.Kind
	switch req.Begin {
	case beginReadWrite:
		kind = statement.Begin
	case beginReadOnly:
		kind = statement.BeginReadOnly
	default:
		return statement.Response{}, true
	}
	response := session.Run(statement.Statement{Kind: kind, ID: req.Statement.ID})
	if response.Code == statement.OK {
		return response, true
	}
	response.State = statement.Failed
	return response, false
}

// forgetUnlessOpen removes a session without an open transaction.
func (s *server) forgetUnlessOpen(id remoteSessionID, remote *remoteSession) {
	if remote.session.State() == statement.Open {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transactions[id] == remote {
		delete(s.transactions, id)
	}
}

// abort rolls back a transaction of a session, after the statement in progress. Requests of
// the transaction that were received and did not run yet, or arrive later, are declined.
func (s *server) abort(id remoteSessionID) {
	s.mu.Lock()
	remote := s.transactions[id]
	delete(s.transactions, id)
	s.numbers.advance(id.session(), id.id.Transaction)
	s.mu.Unlock()
	remote.abort()
}

// abort rolls the session's transaction back, after the statement in progress. A nil session
// has none.
func (r *remoteSession) abort() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.session.Rollback()
	r.aborted = true
}

// abortAll rolls back all transactions of an instance.
func (s *server) abortAll(instance topology.InstanceID) {
	s.mu.Lock()
	var ids []remoteSessionID
	for id := range s.transactions {
		if id.instance == instance {
			ids = append(ids, id)
		}
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.abort(id)
	}
}

// hasOperations reports whether operations of other instances are in progress here.
func (s *server) hasOperations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.transactions) > 0 || s.running > 0
}
