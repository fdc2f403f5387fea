// Package database models the state of one database server of a replication group:
// its replication log, its rows, its transactions and the term that it has promised.
// It opens no socket and starts no goroutine.
//
// The model is small: a row is a key with a value, reads see what is committed, a
// transaction locks the rows that it writes, and nothing is stored on disk.
package database

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Config configures a Database.
type Config struct {
	ID topology.TargetID
	// Clock times the receive lag and the replay lag. Nil means the system's clock.
	Clock clock.Clock
	// ReuseTransactionIDs makes a new primary continue from the highest transaction
	// ID in its log, as PostgreSQL does. It then assigns IDs again that a replaced
	// primary had assigned to transactions that were never replicated. When it is
	// false, the upper half of each ID is the term, and no ID is assigned twice.
	ReuseTransactionIDs bool
	// OnDemoted is called, without locks held, after the server has stopped being
	// primary. It may be nil.
	OnDemoted func()
}

// Database is the state of one server. It starts as a replica with an empty log.
//
// Fence promises a term: the server then refuses lower terms, and a primary becomes
// a replica. Promote makes the server primary of the term that it has promised, at
// most once for each term. The log of a replica changes through Receive only.
//
// It is safe for concurrent use.
type Database struct {
	id                  topology.TargetID
	clock               clock.Clock
	reuseTransactionIDs bool
	onDemoted           func()

	mu struct {
		sync.Mutex
		// term is the highest term that the server has promised.
		term topology.Term
		// promotedTerm is the latest term for which the server was promoted.
		promotedTerm topology.Term
		role         topology.Role
		leaving      bool
		// log holds the record of position p at index p-1.
		log []logEntry
		// replayedRecords counts the records at the start of the log whose changes
		// are in rows.
		replayedRecords int
		replayLag       time.Duration
		rows            map[string]string
		// commitPoints maps the ID of each committed transaction to the point of its
		// record in the log.
		commitPoints      map[uint64]topology.Point
		abortedIDs        map[uint64]struct{}
		nextTransactionID uint64
		openTransactions  map[*Transaction]struct{}
		rowLocks          map[string]*rowLock
		// changed is closed and replaced when the log, the role or the replay lag
		// changes.
		changed chan struct{}
	}
}

// New returns a replica with an empty log.
func New(cfg Config) *Database {
	d := &Database{id: cfg.ID, clock: cfg.Clock, reuseTransactionIDs: cfg.ReuseTransactionIDs, onDemoted: cfg.OnDemoted}
	if d.clock == nil {
		d.clock = clock.System()
	}
	if d.onDemoted == nil {
		d.onDemoted = func() {}
	}
	d.mu.role = topology.RoleReplica
	d.mu.rows = make(map[string]string)
	d.mu.commitPoints = make(map[uint64]topology.Point)
	d.mu.abortedIDs = make(map[uint64]struct{})
	d.mu.openTransactions = make(map[*Transaction]struct{})
	d.mu.rowLocks = make(map[string]*rowLock)
	d.mu.changed = make(chan struct{})
	return d
}

// Status implements httpgroup.Member.
func (d *Database) Status(context.Context) (topology.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status(), nil
}

func (d *Database) status() topology.Status {
	return topology.Status{
		Target:   d.id,
		Role:     d.mu.role,
		Term:     d.mu.term,
		Received: d.pointAt(len(d.mu.log)),
		Replayed: d.pointAt(d.mu.replayedRecords),
		Leaving:  d.mu.leaving,
	}
}

// SetLeaving sets whether the status reports that the server is being drained.
func (d *Database) SetLeaving(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.leaving = leaving
}

// Primary reports whether the server is primary and thus accepts writes.
func (d *Database) Primary() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.role == topology.RolePrimary
}

// Fence implements httpgroup.Member. It refuses a term that is not above the
// promised one.
func (d *Database) Fence(_ context.Context, term topology.Term) (topology.Status, error) {
	d.mu.Lock()
	if term <= d.mu.term {
		promised := d.mu.term
		d.mu.Unlock()
		return topology.Status{}, eris.Wrapf(platform.ErrTermRefused, "fence %s at term %d: promised %d", d.id, term, promised)
	}
	demoted := d.adoptTerm(term)
	status := d.status()
	d.mu.Unlock()
	if demoted {
		d.onDemoted()
	}
	return status, nil
}

// adoptTerm promises a higher term. When the server is primary, it becomes a
// replica, its open transactions abort, and adoptTerm returns true.
func (d *Database) adoptTerm(term topology.Term) (demoted bool) {
	d.mu.term = term
	if d.mu.role != topology.RolePrimary {
		return false
	}
	d.mu.role = topology.RoleReplica
	for transaction := range d.mu.openTransactions {
		d.abortTransaction(transaction)
	}
	d.notifyChanged()
	return true
}

// Promote implements httpgroup.Member. It replays the log to its end and appends
// the first record of the term. It refuses a term other than the promised one, and
// one in which the server was promoted before.
func (d *Database) Promote(_ context.Context, term topology.Term) (topology.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term != d.mu.term || d.mu.promotedTerm >= term {
		return topology.Status{}, eris.Wrapf(platform.ErrTermRefused,
			"promote %s at term %d: promised %d, promoted at %d", d.id, term, d.mu.term, d.mu.promotedTerm)
	}
	d.mu.promotedTerm = term
	d.mu.role = topology.RolePrimary
	d.mu.nextTransactionID = d.firstTransactionID(term)
	d.appendAndReplay(Record{Point: d.nextLogPoint()})
	return d.status(), nil
}

// transactionCounterBits is the width of the lower part of a transaction ID, which
// counts the transactions of a term. The upper part is the term.
const transactionCounterBits = 32

// firstTransactionID returns the ID of the first transaction of a new term; see
// Config.ReuseTransactionIDs.
func (d *Database) firstTransactionID(term topology.Term) uint64 {
	if !d.reuseTransactionIDs {
		return uint64(term)<<transactionCounterBits + 1
	}
	var last uint64
	for transactionID := range d.mu.commitPoints {
		last = max(last, transactionID)
	}
	return last + 1
}

// TransactionStatus implements httpgroup.Member. A transaction that this server
// has neither run nor received is reported as absent.
func (d *Database) TransactionStatus(_ context.Context, transactionID uint64) (platform.TransactionReport, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := platform.TransactionReport{Outcome: platform.OutcomeAbsent, Status: d.status()}
	if _, found := d.mu.abortedIDs[transactionID]; found {
		report.Outcome = platform.OutcomeAborted
	}
	for transaction := range d.mu.openTransactions {
		if transaction.id == transactionID {
			report.Outcome = platform.OutcomeInProgress
		}
	}
	if commit, found := d.mu.commitPoints[transactionID]; found {
		report.Outcome = platform.OutcomeCommitted
		report.CommitPoint = commit
	}
	return report, nil
}

// Rows returns a copy of the rows that reads see: those of replayed records.
func (d *Database) Rows() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.mu.rows)
}

// Crash aborts the open transactions, as a crash of the server's process does. The
// log, the rows, the promised term and the role persist.
func (d *Database) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for transaction := range d.mu.openTransactions {
		d.abortTransaction(transaction)
	}
}

// Changed returns a channel that is closed at the next change of the log, the role
// or the replay lag.
func (d *Database) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.changed
}

func (d *Database) notifyChanged() {
	close(d.mu.changed)
	d.mu.changed = make(chan struct{})
}
