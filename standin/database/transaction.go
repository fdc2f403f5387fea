package database

import (
	"context"
	"maps"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// rowLockTimeout bounds the wait for a row that another transaction has written.
const rowLockTimeout = 2 * time.Second

// Error is a failure with the SQLSTATE that a session reports.
type Error struct {
	Code    string
	Message string
}

// Error returns the message with its code.
func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// SQLSTATEs of this package (PostgreSQL documentation, appendix A).
const (
	CodeReadOnly         = "25006"
	CodeUniqueViolation  = "23505"
	CodeLockNotAvailable = "55P03"
	CodeAdminShutdown    = "57P01"
	CodeQueryCanceled    = "57014"
)

var errConnectionTerminated = &Error{CodeAdminShutdown, "terminating connection: the server is not primary any more"}

// Transaction is an open transaction. It is used by one goroutine.
type Transaction struct {
	database *Database
	readOnly bool

	// The database's lock guards the following.
	id         uint64
	closed     bool
	changes    map[string]Change
	writeOrder []string
	lockedKeys []string
}

type rowLock struct {
	owner    *Transaction
	released chan struct{}
}

// Begin opens a transaction.
func (d *Database) Begin(readOnly bool) *Transaction {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &Transaction{database: d, readOnly: readOnly, changes: make(map[string]Change)}
	d.mu.openTransactions[t] = struct{}{}
	return t
}

// ID returns the transaction's number, or zero when it has written nothing.
func (t *Transaction) ID() uint64 {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	return t.id
}

// Get reads a row.
func (t *Transaction) Get(key string) (value string, found bool) {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	return t.readRow(key)
}

func (t *Transaction) readRow(key string) (string, bool) {
	if change, written := t.changes[key]; written {
		return change.Value, !change.Deleted
	}
	value, found := t.database.mu.rows[key]
	return value, found
}

// Rows returns every row.
func (t *Transaction) Rows() map[string]string {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	rows := maps.Clone(t.database.mu.rows)
	for _, change := range t.changes {
		applyChange(rows, []Change{change})
	}
	return rows
}

// UpdateFunc computes a row's new state from its present one. It returns false to
// leave the row alone.
type UpdateFunc func(value string, found bool) (Change, bool, error)

// Write locks a row and changes it as decide says. It reports whether the row
// was changed.
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

// tryLockRow takes the row's lock, or returns a channel that is closed when its
// owner ends.
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
		d.mu.rowLocks[key] = &rowLock{owner: t, released: make(chan struct{})}
		t.lockedKeys = append(t.lockedKeys, key)
		return nil, nil
	}
	if lock.owner == t {
		return nil, nil
	}
	return lock.released, nil
}

// Commit makes the changes durable on this server.
func (t *Transaction) Commit() error {
	d := t.database
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.closed {
		return errConnectionTerminated
	}
	if len(t.writeOrder) > 0 {
		record := Record{Point: d.nextLogPoint(), Transaction: t.id}
		for _, key := range t.writeOrder {
			record.Changes = append(record.Changes, t.changes[key])
		}
		d.appendAndReplay(record)
	}
	d.closeTransaction(t)
	return nil
}

// Rollback drops the changes. It does nothing after the transaction's end.
func (t *Transaction) Rollback() {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	if !t.closed {
		t.database.abortTransaction(t)
	}
}

func (d *Database) abortTransaction(t *Transaction) {
	if t.id != 0 {
		d.mu.abortedIDs[t.id] = struct{}{}
	}
	d.closeTransaction(t)
}

func (d *Database) closeTransaction(t *Transaction) {
	t.closed = true
	delete(d.mu.openTransactions, t)
	for _, key := range t.lockedKeys {
		close(d.mu.rowLocks[key].released)
		delete(d.mu.rowLocks, key)
	}
}
