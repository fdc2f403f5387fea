// Package grouptest holds an in-memory database group for tests. It knows
// terms, logs, fencing, promotion and asynchronous replication, and assigns
// transaction ids as PostgreSQL does: from the last one in the member's log. It
// has no clock, no network and no goroutine; tests order its events.
package grouptest

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Entry is one entry of a log. Label tells a test which write it is; an entry
// without a transaction marks a promotion.
type Entry struct {
	Term        topology.Term
	Transaction uint64
	Label       int
}

// Transaction is an open transaction of one connection.
type Transaction struct {
	ID uint64
}

// Member is one member of a group.
type Member struct {
	ID       topology.TargetID
	Promised topology.Term
	Role     topology.Role
	Log      []Entry
	// Replayed counts the entries that reads see.
	Replayed int
	Leaving  bool
	promoted topology.Term
	open     map[uint64]*Transaction
	aborted  map[uint64]bool
	last     uint64
}

// Group is a database group.
type Group struct {
	Members []*Member
	// Primaries records which member was promoted at each term.
	Primaries map[topology.Term][]topology.TargetID
}

// New returns a group whose first member is primary of term 1 and whose other
// members follow it.
func New(ids ...topology.TargetID) *Group {
	g := &Group{Primaries: make(map[topology.Term][]topology.TargetID)}
	for _, id := range ids {
		g.Members = append(g.Members, &Member{
			ID: id, Role: topology.RoleReplica,
			open: make(map[uint64]*Transaction), aborted: make(map[uint64]bool),
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

// Status returns the member's state.
func (m *Member) Status() topology.Status {
	return topology.Status{
		Target: m.ID, Role: m.Role, Term: m.Promised, Leaving: m.Leaving,
		Received: m.point(len(m.Log)), Replayed: m.point(m.Replayed),
	}
}

func (m *Member) point(length int) topology.Point {
	if length == 0 {
		return topology.Point{}
	}
	return topology.Point{Term: m.Log[length-1].Term, Position: topology.Position(length)}
}

// Fence makes the member promise a term, as platform.Groups says.
func (g *Group) Fence(m *Member, term topology.Term) error {
	if term <= m.Promised {
		return platform.ErrTermRefused
	}
	m.promise(term)
	return nil
}

func (m *Member) promise(term topology.Term) {
	m.Promised = term
	m.Role = topology.RoleReplica
	for transaction := range m.open {
		m.aborted[transaction] = true
	}
	clear(m.open)
}

// Promote makes the member primary of a term, as platform.Groups says, and
// appends the entry that begins the term.
func (g *Group) Promote(m *Member, term topology.Term) error {
	if term != m.Promised || m.promoted == term {
		return platform.ErrTermRefused
	}
	m.promoted = term
	m.Role = topology.RolePrimary
	m.Log = append(m.Log, Entry{Term: term})
	m.last = 0
	for _, entry := range m.Log {
		m.last = max(m.last, entry.Transaction)
	}
	m.Replayed = len(m.Log)
	g.Primaries[term] = append(g.Primaries[term], m.ID)
	return nil
}

// Begin opens a transaction, or returns nil unless the member is primary.
func (m *Member) Begin() *Transaction {
	if m.Role != topology.RolePrimary {
		return nil
	}
	m.last++
	transaction := &Transaction{ID: m.last}
	m.open[m.last] = transaction
	delete(m.aborted, m.last)
	return transaction
}

// Commit commits a transaction, unless it has ended.
func (m *Member) Commit(transaction *Transaction, label int) bool {
	if !m.end(transaction) {
		return false
	}
	m.Log = append(m.Log, Entry{Term: m.Promised, Transaction: transaction.ID, Label: label})
	m.Replayed = len(m.Log)
	return true
}

// Abort rolls a transaction back, unless it has ended.
func (m *Member) Abort(transaction *Transaction) {
	if m.end(transaction) {
		m.aborted[transaction.ID] = true
	}
}

func (m *Member) end(transaction *Transaction) bool {
	if transaction == nil || m.open[transaction.ID] != transaction {
		return false
	}
	delete(m.open, transaction.ID)
	return true
}

// Replicate streams up to count entries from a primary to another member, which
// drops what its log holds beyond the common part.
func (g *Group) Replicate(from, to *Member, count int) {
	if from.Role != topology.RolePrimary || from == to || to.Promised > from.Promised {
		return
	}
	if to.Promised < from.Promised {
		to.promise(from.Promised)
	}
	common := 0
	for common < min(len(from.Log), len(to.Log)) && from.Log[common] == to.Log[common] {
		common++
	}
	end := min(len(from.Log), common+count)
	to.Log = append(to.Log[:common:common], from.Log[common:end]...)
	to.Replayed = min(to.Replayed, common)
}

// Replay makes up to count more entries visible to reads.
func (m *Member) Replay(count int) {
	m.Replayed = min(len(m.Log), m.Replayed+count)
}

// Holds reports whether the first length entries of the member's log have the
// label.
func (m *Member) Holds(label, length int) bool {
	for _, entry := range m.Log[:length] {
		if entry.Transaction != 0 && entry.Label == label {
			return true
		}
	}
	return false
}

// TransactionStatus returns what the member knows of a transaction.
func (m *Member) TransactionStatus(transaction uint64) platform.TransactionReport {
	report := platform.TransactionReport{Outcome: platform.OutcomeAbsent, Status: m.Status()}
	for i, entry := range m.Log {
		if entry.Transaction == transaction {
			report.Outcome = platform.OutcomeCommitted
			report.Commit = m.point(i + 1)
			return report
		}
	}
	switch {
	case m.open[transaction] != nil:
		report.Outcome = platform.OutcomeInProgress
	case m.aborted[transaction]:
		report.Outcome = platform.OutcomeAborted
	}
	return report
}
