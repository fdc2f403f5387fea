// Package grouptest emulates a database group in memory for tests. It implements
// terms, logs, fencing, promotion and asynchronous replication. As in PostgreSQL, a
// new primary continues with the transaction ID after the highest one in its log, so
// that IDs of transactions which its log lacks are assigned again. A Group has no
// clock, network or goroutine: tests determine the order of events. Platform adds the
// interface that drivers use.
package grouptest

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Entry is one log entry. Label identifies the write for the test. An entry without a
// transaction marks the start of a term.
type Entry struct {
	Term        topology.Term
	Transaction uint64
	Label       int
}

// Transaction is an open transaction of one connection.
type Transaction struct {
	ID uint64
}

// Member is one member of a group. Promised is the highest term that it has promised.
type Member struct {
	ID       topology.TargetID
	Promised topology.Term
	Role     topology.Role
	Log      []Entry
	// Replayed is the number of log entries that are visible to reads.
	Replayed            int
	Leaving             bool
	promotedTerm        topology.Term
	openTransactions    map[uint64]*Transaction
	abortedTransactions map[uint64]bool
	lastTransaction     uint64
}

// Group is a database group. It is not safe for concurrent use.
type Group struct {
	Members []*Member
	// Primaries holds the members that were promoted at each term; more than one is
	// a violation that tests check for.
	Primaries map[topology.Term][]topology.TargetID
}

// New returns a group whose first member is primary of term 1 and whose other members
// hold its log.
func New(ids ...topology.TargetID) *Group {
	g := &Group{Primaries: make(map[topology.Term][]topology.TargetID)}
	for _, id := range ids {
		g.Members = append(g.Members, &Member{
			ID: id, Role: topology.RoleReplica,
			openTransactions: make(map[uint64]*Transaction), abortedTransactions: make(map[uint64]bool),
		})
	}
	first := g.Members[0]
	first.Promised = 1
	_ = g.Promote(first, 1)
	for _, m := range g.Members[1:] {
		g.Replicate(first, m, 1)
		m.Replay(1)
	}
	first.Replay(1)
	return g
}

// Member returns a member, or nil.
func (g *Group) Member(id topology.TargetID) *Member {
	for _, m := range g.Members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Status returns the status that the member reports.
func (m *Member) Status() topology.Status {
	return topology.Status{
		Target: m.ID, Role: m.Role, Term: m.Promised, Leaving: m.Leaving,
		Received: m.point(len(m.Log)), Replayed: m.point(m.Replayed),
	}
}

// point returns the point at the end of the first length entries of the log.
func (m *Member) point(length int) topology.Point {
	if length == 0 {
		return topology.Point{}
	}
	return topology.Point{Term: m.Log[length-1].Term, Position: topology.Position(length)}
}

// Fence makes the member promise a term, as specified by platform.Groups.
func (g *Group) Fence(m *Member, term topology.Term) error {
	if term <= m.Promised {
		return platform.ErrTermRefused
	}
	m.promise(term)
	return nil
}

// promise sets the member's term and makes it a replica, which aborts its open
// transactions.
func (m *Member) promise(term topology.Term) {
	m.Promised = term
	m.Role = topology.RoleReplica
	for transaction := range m.openTransactions {
		m.abortedTransactions[transaction] = true
	}
	clear(m.openTransactions)
}

// Promote makes the member primary of a term, as specified by platform.Groups, and
// appends the entry that starts the term.
func (g *Group) Promote(m *Member, term topology.Term) error {
	if term != m.Promised || m.promotedTerm == term {
		return platform.ErrTermRefused
	}
	m.promotedTerm = term
	m.Role = topology.RolePrimary
	m.Log = append(m.Log, Entry{Term: term})
	m.lastTransaction = 0
	for _, entry := range m.Log {
		m.lastTransaction = max(m.lastTransaction, entry.Transaction)
	}
	m.Replayed = len(m.Log)
	g.Primaries[term] = append(g.Primaries[term], m.ID)
	return nil
}

// Begin opens a transaction. It returns nil if the member is not primary.
func (m *Member) Begin() *Transaction {
	if m.Role != topology.RolePrimary {
		return nil
	}
	m.lastTransaction++
	transaction := &Transaction{ID: m.lastTransaction}
	m.openTransactions[m.lastTransaction] = transaction
	delete(m.abortedTransactions, m.lastTransaction)
	return transaction
}

// Commit commits a transaction and appends its entry. It reports whether the
// transaction was open.
func (m *Member) Commit(transaction *Transaction, label int) bool {
	if !m.closeTransaction(transaction) {
		return false
	}
	m.Log = append(m.Log, Entry{Term: m.Promised, Transaction: transaction.ID, Label: label})
	m.Replayed = len(m.Log)
	return true
}

// Abort rolls a transaction back if it is open.
func (m *Member) Abort(transaction *Transaction) {
	if m.closeTransaction(transaction) {
		m.abortedTransactions[transaction.ID] = true
	}
}

// closeTransaction removes a transaction from the open ones and reports whether it was
// open.
func (m *Member) closeTransaction(transaction *Transaction) bool {
	if transaction == nil || m.openTransactions[transaction.ID] != transaction {
		return false
	}
	delete(m.openTransactions, transaction.ID)
	return true
}

// Replicate streams up to maxEntries entries from a primary to another member. The
// member promises the primary's term and drops the entries of its log that the
// primary's log does not have. Nothing happens if from is not primary or to has
// promised a higher term.
func (g *Group) Replicate(from, to *Member, maxEntries int) {
	if from.Role != topology.RolePrimary || from == to || to.Promised > from.Promised {
		return
	}
	if to.Promised < from.Promised {
		to.promise(from.Promised)
	}
	commonLength := 0
	for commonLength < min(len(from.Log), len(to.Log)) && from.Log[commonLength] == to.Log[commonLength] {
		commonLength++
	}
	end := min(len(from.Log), commonLength+maxEntries)
	to.Log = append(to.Log[:commonLength:commonLength], from.Log[commonLength:end]...)
	to.Replayed = min(to.Replayed, commonLength)
}

// Replay makes up to maxEntries more entries visible to reads.
func (m *Member) Replay(maxEntries int) {
	m.Replayed = min(len(m.Log), m.Replayed+maxEntries)
}

// Holds reports whether a write with the label is among the first length entries of the
// member's log.
func (m *Member) Holds(label, length int) bool {
	for _, entry := range m.Log[:length] {
		if entry.Transaction != 0 && entry.Label == label {
			return true
		}
	}
	return false
}

// TransactionStatus returns the member's report on a transaction.
func (m *Member) TransactionStatus(transaction uint64) platform.TransactionReport {
	report := platform.TransactionReport{Outcome: platform.OutcomeAbsent, Status: m.Status()}
	for i, entry := range m.Log {
		if entry.Transaction == transaction {
			report.Outcome = platform.OutcomeCommitted
			report.CommitPoint = m.point(i + 1)
			return report
		}
	}
	switch {
	case m.openTransactions[transaction] != nil:
		report.Outcome = platform.OutcomeInProgress
	case m.abortedTransactions[transaction]:
		report.Outcome = platform.OutcomeAborted
	}
	return report
}
