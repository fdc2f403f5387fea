// Package database models one database server of a replication group: its log,
// its rows, its transactions and the terms it has promised. It opens no socket
// and starts no goroutine. It isn't a database: rows are keys with values, reads
// see what is committed, and a written row is locked until its transaction ends.
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

// Config sets up a Database.
type Config struct {
	ID topology.TargetID
	// Clock judges the replay lag. Nil means the system's.
	Clock clock.Clock
	// ReuseTransactionIDs numbers the transactions of a new primary on from the
	// highest number in its log, as PostgreSQL does, so that a number which a
	// replaced primary gave without replicating it comes up again. Otherwise
	// the term is the upper half of each number.
	ReuseTransactionIDs bool
	// OnDemoted is called, without locks, after the server stopped being primary.
	// Nil means nobody wants to know.
	OnDemoted func()
}

// Database is one server. It is safe for concurrent use.
type Database struct {
	id                  topology.TargetID
	clock               clock.Clock
	reuseTransactionIDs bool
	onDemoted           func()

	mu struct {
		sync.Mutex
		term            topology.Term
		promotedTerm    topology.Term
		role            topology.Role
		leaving         bool
		log             []logEntry
		replayedRecords int
		replayLag       time.Duration
		rows            map[string]string
		// committed finds the record of a transaction in the log.
		commitPoints      map[uint64]topology.Point
		abortedIDs        map[uint64]struct{}
		nextTransactionID uint64
		openTransactions  map[*Transaction]struct{}
		rowLocks          map[string]*rowLock
		// changed is closed, and replaced, when the log or the role changes.
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

// SetLeaving says whether the server reports that it is being drained.
func (d *Database) SetLeaving(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mu.leaving = leaving
}

// Primary reports whether the server takes writes.
func (d *Database) Primary() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.role == topology.RolePrimary
}

// Fence implements httpgroup.Member.
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

// adoptTerm promises a higher term and reports whether that ended a reign.
func (d *Database) adoptTerm(term topology.Term) (demoted bool) {
	d.mu.term = term
	if d.mu.role != topology.RolePrimary {
		return false
	}
	d.mu.role = topology.RoleReplica
	for t := range d.mu.openTransactions {
		d.abortTransaction(t)
	}
	d.notifyChange()
	return true
}

// Promote implements httpgroup.Member. The log is replayed to its end and a
// first record of the term is written.
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

// transactionCounterBits is the width of the part of a transaction number that
// counts within a term.
const transactionCounterBits = 32

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

// TransactionStatus implements httpgroup.Member.
func (d *Database) TransactionStatus(_ context.Context, transactionID uint64) (platform.TransactionReport, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := platform.TransactionReport{Outcome: platform.OutcomeAbsent, Status: d.status()}
	if _, found := d.mu.abortedIDs[transactionID]; found {
		report.Outcome = platform.OutcomeAborted
	}
	for t := range d.mu.openTransactions {
		if t.id == transactionID {
			report.Outcome = platform.OutcomeInProgress
		}
	}
	if commit, found := d.mu.commitPoints[transactionID]; found {
		report.Outcome = platform.OutcomeCommitted
		report.Commit = commit
	}
	return report, nil
}

// Rows returns a copy of the rows that reads see.
func (d *Database) Rows() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.mu.rows)
}

// Crash ends the open transactions, as a stopped process does. The log, the
// rows, the promised term and the role last.
func (d *Database) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.mu.openTransactions {
		d.abortTransaction(t)
	}
}

// Changed returns a channel that is closed at the next change of the log or the
// role.
func (d *Database) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.changed
}

func (d *Database) notifyChange() {
	close(d.mu.changed)
	d.mu.changed = make(chan struct{})
}
