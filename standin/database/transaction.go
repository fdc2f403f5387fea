package database

import (
	"context"
	"maps"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// rowLockTimeout bounds the wait for a row that another transaction has locked.
const rowLockTimeout = 2 * time.Second

// Error is an error that a session reports to its client. Code is the SQLSTATE.
type Error struct {
	Code    string
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// SQLSTATEs (PostgreSQL documentation, appendix A).
const (
	CodeReadOnly         = "25006"
	CodeUniqueViolation  = "23505"
	CodeLockNotAvailable = "55P03"
	CodeAdminShutdown    = "57P01"
	CodeQueryCanceled    = "57014"
)

// errConnectionTerminated is the error of a transaction that was aborted by a
// demotion or a crash.
var errConnectionTerminated = &Error{CodeAdminShutdown, "terminating connection: the server is not primary any more"}

// Transaction is a transaction on one server. It reads committed rows and its own
// changes, and holds the lock of each row that it writes until it closes. A session
// uses it from one goroutine; a demotion or a crash may abort it at any time.
type Transaction struct {
	database *Database
	readOnly bool

	// Database.mu guards the following fields.

	// id is zero until the first write.
	id uint64
	// closed is set after a commit, a rollback or an abort.
	closed bool
	// changes holds the latest change of each row that is written.
	changes map[string]Change
	// writeOrder lists the keys of changes in the order of the first write.
	writeOrder []string
	lockedKeys []string
}

// rowLock is the lock of one row.
type rowLock struct {
	holder *Transaction
	// released is closed when the transaction that holds the lock closes.
	released chan struct{}
}

// Begin opens a transaction. Every server does so; a write fails on a replica.
func (d *Database) Begin(readOnly bool) *Transaction {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &Transaction{database: d, readOnly: readOnly, changes: make(map[string]Change)}
	d.mu.openTransactions[t] = struct{}{}
	return t
}

// ID returns the transaction ID, or zero before the first write.
func (t *Transaction) ID() uint64 {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	return t.id
}

// Get returns the value of a row.
func (t *Transaction) Get(key string) (value string, found bool) {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	return t.readRow(key)
}

// readRow does the work of Get with the database locked.
func (t *Transaction) readRow(key string) (string, bool) {
	if change, written := t.changes[key]; written {
		return change.Value, !change.Deleted
	}
	value, found := t.database.mu.rows[key]
	return value, found
}

// Rows returns all rows with the transaction's own changes.
func (t *Transaction) Rows() map[string]string {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	rows := maps.Clone(t.database.mu.rows)
	for _, change := range t.changes {
		applyChanges(rows, []Change{change})
	}
	return rows
}

// UpdateFunc computes the change of a row from its current value. It returns false
// to leave the row as it is. It is called with the database locked.
type UpdateFunc func(value string, found bool) (Change, bool, error)

// Write locks a row, waiting at most rowLockTimeout for another transaction that
// holds it, and applies update to it. It reports whether the row was changed.
func (t *Transaction) Write(ctx context.Context, key string, update UpdateFunc) (Change, bool, error) {
	if err := t.lockRow(ctx, key); err != nil {
		return Change{}, false, err
	}
	d := t.database
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.closed {
		return Change{}, false, errConnectionTerminated
	}
	change, changed, err := update(t.readRow(key))
	if err != nil || !changed {
		return Change{}, false, err
	}
	change.Key = key
	if t.id == 0 {
		t.id = d.mu.nextTransactionID
		d.mu.nextTransactionID++
	}
	if _, alreadyWritten := t.changes[key]; !alreadyWritten {
		t.writeOrder = append(t.writeOrder, key)
	}
	t.changes[key] = change
	return change, true, nil
}

// lockRow waits for the lock of a row and acquires it.
func (t *Transaction) lockRow(ctx context.Context, key string) error {
	timer := time.NewTimer(rowLockTimeout)
	defer timer.Stop()
	for {
		released, err := t.tryLockRow(key)
		if err != nil || released == nil {
			return err
		}
		select {
		case <-released:
		case <-timer.C:
			return &Error{CodeLockNotAvailable, "canceling statement due to lock timeout"}
		case <-ctx.Done():
			return &Error{CodeQueryCanceled, "canceling statement due to user request"}
		}
	}
}

// tryLockRow acquires the lock of a row, or returns a channel that is closed when
// the transaction that holds the lock closes.
func (t *Transaction) tryLockRow(key string) (<-chan struct{}, error) {
	d := t.database
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case t.closed:
		return nil, errConnectionTerminated
	case t.readOnly || d.mu.role != topology.RolePrimary:
		return nil, &Error{CodeReadOnly, "cannot write in a read-only transaction"}
	}
	lock, isLocked := d.mu.rowLocks[key]
	if !isLocked {
		d.mu.rowLocks[key] = &rowLock{holder: t, released: make(chan struct{})}
		t.lockedKeys = append(t.lockedKeys, key)
		return nil, nil
	}
	if lock.holder == t {
		return nil, nil
	}
	return lock.released, nil
}

// Commit appends the changes to this server's log as one record. It does not wait
// for replicas.
func (t *Transaction) Commit() error {
	d := t.database
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.closed {
		return errConnectionTerminated
	}
	if len(t.writeOrder) > 0 {
		record := Record{Point: d.nextLogPoint(), TransactionID: t.id}
		for _, key := range t.writeOrder {
			record.Changes = append(record.Changes, t.changes[key])
		}
		d.appendAndReplay(record)
	}
	d.closeTransaction(t)
	return nil
}

// Rollback drops the changes. It does nothing when the transaction is closed.
func (t *Transaction) Rollback() {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	if !t.closed {
		t.database.abortTransaction(t)
	}
}

// abortTransaction drops the transaction's changes and records its ID as aborted.
func (d *Database) abortTransaction(t *Transaction) {
	if t.id != 0 {
		d.mu.abortedIDs[t.id] = struct{}{}
	}
	d.closeTransaction(t)
}

// closeTransaction closes the transaction and releases its row locks.
func (d *Database) closeTransaction(t *Transaction) {
	t.closed = true
	delete(d.mu.openTransactions, t)
	for _, key := range t.lockedKeys {
		close(d.mu.rowLocks[key].released)
		delete(d.mu.rowLocks, key)
	}
}
