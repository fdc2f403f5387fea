package database

import (
	"context"
	"maps"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// lockTimeout bounds the wait for a row that another transaction has written.
const lockTimeout = 2 * time.Second

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

var errEnded = &Error{CodeAdminShutdown, "terminating connection: the server is not primary any more"}

// Transaction is an open transaction. It is used by one goroutine.
type Transaction struct {
	database *Database
	readOnly bool

	// The database's lock guards the following.
	id      uint64
	ended   bool
	changes map[string]Change
	order   []string
	held    []string
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
	d.mu.open[t] = struct{}{}
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
	return t.get(key)
}

func (t *Transaction) get(key string) (string, bool) {
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
		apply(rows, []Change{change})
	}
	return rows
}

// Decide computes a row's new state from its present one. It returns false to
// leave the row alone.
type Decide func(value string, found bool) (Change, bool, error)

// Write locks a row and changes it as decide says. It reports whether the row
// was changed.
func (t *Transaction) Write(ctx context.Context, key string, decide Decide) (Change, bool, error) {
	if err := t.lock(ctx, key); err != nil {
		return Change{}, false, err
	}
	d := t.database
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.ended {
		return Change{}, false, errEnded
	}
	change, changes, err := decide(t.get(key))
	if err != nil || !changes {
		return Change{}, false, err
	}
	change.Key = key
	if t.id == 0 {
		t.id = d.mu.nextTransaction
		d.mu.nextTransaction++
	}
	if _, again := t.changes[key]; !again {
		t.order = append(t.order, key)
	}
	t.changes[key] = change
	return change, true, nil
}

func (t *Transaction) lock(ctx context.Context, key string) error {
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	for {
		released, err := t.tryLock(key)
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

// tryLock takes the row's lock, or returns a channel that is closed when its
// owner ends.
func (t *Transaction) tryLock(key string) (<-chan struct{}, error) {
	d := t.database
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case t.ended:
		return nil, errEnded
	case t.readOnly || d.mu.role != topology.RolePrimary:
		return nil, &Error{CodeReadOnly, "cannot write in a read-only transaction"}
	}
	lock, taken := d.mu.locks[key]
	if !taken {
		d.mu.locks[key] = &rowLock{owner: t, released: make(chan struct{})}
		t.held = append(t.held, key)
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
	if t.ended {
		return errEnded
	}
	if len(t.order) > 0 {
		record := Record{Point: d.nextPoint(), Transaction: t.id}
		for _, key := range t.order {
			record.Changes = append(record.Changes, t.changes[key])
		}
		d.append(record)
	}
	d.finish(t)
	return nil
}

// Rollback drops the changes. It does nothing after the transaction's end.
func (t *Transaction) Rollback() {
	t.database.mu.Lock()
	defer t.database.mu.Unlock()
	if !t.ended {
		t.database.abort(t)
	}
}

func (d *Database) abort(t *Transaction) {
	if t.id != 0 {
		d.mu.aborted[t.id] = struct{}{}
	}
	d.finish(t)
}

func (d *Database) finish(t *Transaction) {
	t.ended = true
	delete(d.mu.open, t)
	for _, key := range t.held {
		close(d.mu.locks[key].released)
		delete(d.mu.locks, key)
	}
}
