package relay

import (
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/perform"
)

// remoteSession names a session of another instance.
type remoteSession struct {
	instance topology.InstanceID
	id       sessionID
}

// server runs other instances' operations with this instance's engine.
type server struct {
	relay *Relay

	mu sync.Mutex
	// open holds the sessions with a transaction here, or with a request that
	// opens one.
	open map[remoteSession]*remoteTransaction
	// running counts requests under way.
	running int
	// number tells sessions of other instances apart from each other for the
	// engine.
	numbers map[remoteSession]uint64
	last    uint64
}

// remoteTransaction is the conversation of another instance's session.
type remoteTransaction struct {
	// mu is held while a statement runs.
	mu           sync.Mutex
	conversation *perform.Conversation
	// used is when its last request came, under the server's lock.
	used time.Duration
}

// idleSlack is how much longer than callers may a transaction of another instance
// rests here before it is rolled back: that instance ends it, unless its message
// was lost or overtaken.
const idleSlack = time.Second

// sweep rolls back transactions that their instance seems to have forgotten.
func (s *server) sweep(now time.Duration) {
	c := s.relay.Engine.Catalog()
	if c == nil || c.TransactionIdle <= 0 {
		return
	}
	limit := c.TransactionIdle + idleSlack
	s.mu.Lock()
	var forgotten []remoteSession
	for key, tx := range s.open {
		if now-tx.used > limit {
			forgotten = append(forgotten, key)
		}
	}
	s.mu.Unlock()
	for _, key := range forgotten {
		go s.end(key)
	}
}

// remoteNumbers is the first number of other instances' sessions; those of
// this instance's own callers are below.
const remoteNumbers = 1 << 40

// mostNumbers bounds the remembered numbers of other instances' sessions.
const mostNumbers = 8192

func newServer(r *Relay) *server {
	return &server{relay: r, open: make(map[remoteSession]*remoteTransaction), numbers: make(map[remoteSession]uint64), last: remoteNumbers}
}

// number returns the number of a session, the same at each of its requests.
func (s *server) number(key remoteSession) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, known := s.numbers[key]; known {
		return n
	}
	if len(s.numbers) >= mostNumbers {
		clear(s.numbers)
	}
	s.last++
	s.numbers[key] = s.last
	return s.last
}

// handle runs a request and sends its reply.
func (s *server) handle(from topology.InstanceID, q *request) {
	s.count(1)
	defer s.count(-1)
	s.relay.send(from, &message{Reply: s.run(from, q)})
}

func (s *server) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

func (s *server) run(from topology.InstanceID, q *request) *reply {
	key := remoteSession{instance: from, id: q.Session}
	if !q.Within && s.unable(q) {
		return &reply{ID: q.ID, Declined: true, Unable: true}
	}
	tx, ok := s.transaction(key, q)
	if !ok {
		return &reply{ID: q.ID, Declined: true}
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	conversation := tx.conversation
	session := conversation.Client
	session.Values = q.Values
	if q.Prepared != nil {
		session.Prepare(q.Statement.Name, *q.Prepared)
	}
	session.Floor, session.FloorAt = q.Floor, s.relay.Clock()-q.FloorAge
	var outcome perform.Outcome
	conversation.ReportTo(func(o perform.Outcome) { outcome = o })
	answer, begun := s.begin(conversation, q)
	if begun {
		answer = conversation.Run(q.Statement)
	}
	s.settle(key, tx)
	r := &reply{ID: q.ID, Answer: answer, Placement: placementOf(outcome), Floor: session.Floor, FloorAge: s.relay.Clock() - session.FloorAt, Version: outcome.ConfigVersion}
	r.Confirmed, r.ConfirmedAge = s.relay.confirmation()
	return r
}

// unable reports that the request needs a primary that this instance cannot use.
func (s *server) unable(q *request) bool {
	session := client.NewSession(0, q.Database, q.Key)
	if q.Prepared != nil {
		session.Prepare(q.Statement.Name, *q.Prepared)
	}
	return !s.relay.Engine.CanRun(session, q.Open == openReadWrite || session.Writes(q.Statement))
}

// transaction returns the conversation in which the request runs. It is not ok
// when this instance cannot run it.
func (s *server) transaction(key remoteSession, q *request) (*remoteTransaction, bool) {
	if q.Within {
		s.mu.Lock()
		defer s.mu.Unlock()
		tx, open := s.open[key]
		if open {
			tx.used = s.relay.Clock()
		}
		return tx, open
	}
	if s.relay.Stopping() || !s.relay.awaitVersion(key.instance, q.Version) || !s.relay.Fit() {
		return nil, false
	}
	session := client.NewSession(s.number(key), q.Database, q.Key)
	tx := &remoteTransaction{conversation: s.relay.Engine.Converse(session, s.relay.Engine)}
	if q.Open != openNone {
		s.end(key) // an earlier one is over, or the session would not open another
		s.mu.Lock()
		tx.used = s.relay.Clock()
		s.open[key] = tx
		s.mu.Unlock()
	}
	return tx, true
}

// begin opens the transaction that a request asks for. A refusal leaves the
// caller with a failed transaction.
func (s *server) begin(conversation *perform.Conversation, q *request) (statement.Answer, bool) {
	var kind statement.Kind
	switch q.Open {
	case openReadWrite:
		kind = statement.Begin
	case openReadOnly:
		kind = statement.BeginReadOnly
	default:
		return statement.Answer{}, true
	}
	answer := conversation.Run(statement.Statement{Kind: kind, ID: q.Statement.ID})
	if answer.Code == statement.OK {
		return answer, true
	}
	answer.State = statement.Failed
	return answer, false
}

// settle forgets a conversation whose transaction has ended.
func (s *server) settle(key remoteSession, tx *remoteTransaction) {
	if tx.conversation.State() == statement.Open {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[key] == tx {
		delete(s.open, key)
	}
}

// end rolls the open transaction of a session back, after the statement that is
// under way.
func (s *server) end(key remoteSession) {
	s.mu.Lock()
	tx := s.open[key]
	delete(s.open, key)
	s.mu.Unlock()
	if tx == nil {
		return
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	tx.conversation.End()
}

// lost rolls back what an instance has open here, after its last link has ended.
func (s *server) lost(instance topology.InstanceID) {
	s.mu.Lock()
	var keys []remoteSession
	for key := range s.open {
		if key.instance == instance {
			keys = append(keys, key)
		}
	}
	s.mu.Unlock()
	for _, key := range keys {
		s.end(key)
	}
}

// busy reports that work of other instances is under way here.
func (s *server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) > 0 || s.running > 0
}
