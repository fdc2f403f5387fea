package load

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5"

	"samphirehitch.example/samphirehitch/load/measure"
	"samphirehitch.example/samphirehitch/load/oracle"
	"samphirehitch.example/samphirehitch/load/workload"
)

// Statements of the load. The table kv has the columns key and value, both text.
const (
	sqlRead      = "SELECT value, current_setting('in_hot_standby') FROM kv WHERE key = $1"
	sqlIncrement = "UPDATE kv SET value = value + 1 WHERE key = $1"
	sqlInsert    = "INSERT INTO kv VALUES ($1, $2)"
)

// execute sends one operation and stores its outcome in the sample.
func (s *session) execute(ctx context.Context, conn *pgx.Conn, op workload.Operation, sample *measure.Sample) {
	var err error
	switch op.Kind {
	case workload.Increment:
		sample.Outcome, err = s.increment(ctx, conn, s.incrementKey(op.RandomBits))
	case workload.Insert:
		sample.Outcome, err = s.insert(ctx, conn)
	case workload.Transaction:
		sample.Outcome, err = s.transaction(ctx, conn)
	case workload.ReadPair:
		sample.Outcome, err = s.read(ctx, conn, sample, s.counterKey(), s.sharedCounterKey(op.RandomBits))
	default:
		sample.Outcome, err = s.read(ctx, conn, sample, s.readKey(op.RandomBits))
	}
	sample.SQLState = sqlState(err)
}

// rowBitsShift removes the low bits of Operation.RandomBits, which select the
// connection and the kind of key, before the rest selects a shared counter.
const rowBitsShift = 8

func (s *session) sharedCounterKey(randomBits uint64) string {
	return s.phase.sharedCounterKey(int(randomBits>>rowBitsShift) % s.phase.cfg.Load.SharedCounters)
}

// incrementKey selects the session's own counter or a shared one.
func (s *session) incrementKey(randomBits uint64) string {
	if randomBits>>1&1 == 0 {
		return s.counterKey()
	}
	return s.sharedCounterKey(randomBits)
}

// readKey selects a shared counter, the session's latest insert or its own counter.
func (s *session) readKey(randomBits uint64) string {
	const keyKinds = 3
	switch (randomBits >> 1) % keyKinds {
	case 0:
		return s.sharedCounterKey(randomBits)
	case 1:
		if s.lastInsertKey != "" {
			return s.lastInsertKey
		}
	}
	return s.counterKey()
}

func (s *session) increment(ctx context.Context, conn *pgx.Conn, key string) (oracle.Outcome, error) {
	s.oracle.StartIncrement(key)
	tag, err := conn.Exec(ctx, sqlIncrement, key)
	outcome := classifyError(err)
	now := s.phase.now()
	s.oracle.FinishIncrement(s.oracleSession(), key, now, outcome)
	if err == nil && tag.RowsAffected() != 1 {
		detail := fmt.Sprintf("an increment returned the command tag %q, want one row", tag)
		s.oracle.Report(oracle.Violation{Rule: oracle.RuleCorrectValue, At: now, Key: key, Detail: detail})
	}
	return outcome, err
}

func (s *session) insert(ctx context.Context, conn *pgx.Conn) (oracle.Outcome, error) {
	key := s.nextInsertKey()
	s.oracle.StartInsert(s.oracleSession(), key, rowValue(key))
	_, err := conn.Exec(ctx, sqlInsert, key, rowValue(key))
	s.finishInsert(key, classifyError(err), err)
	return classifyError(err), err
}

// finishInsert records the outcome of an insert. Its key is new, so that a duplicate
// key means that the insert ran twice: that is a violation, and the outcome is unknown.
func (s *session) finishInsert(key string, outcome oracle.Outcome, err error) {
	if sqlState(err) == codeUniqueViolation {
		s.oracle.ReportDuplicateKey(key, s.phase.now())
		outcome = oracle.Unknown
	}
	s.oracle.FinishInsert(key, s.phase.now(), outcome)
	s.lastInsertKey = key
}

// rowValue returns the value that an insert of the key writes.
func rowValue(key string) string { return "value of " + key }

// transaction inserts two rows in one transaction.
func (s *session) transaction(ctx context.Context, conn *pgx.Conn) (oracle.Outcome, error) {
	firstKey, secondKey := s.nextInsertKey(), s.nextInsertKey()
	for _, key := range []string{firstKey, secondKey} {
		s.oracle.StartInsert(s.oracleSession(), key, rowValue(key))
	}
	s.oracle.RecordTransaction(firstKey, secondKey)
	outcome, err := s.commitInserts(ctx, conn, firstKey, secondKey)
	s.finishInsert(firstKey, outcome, err)
	s.finishInsert(secondKey, outcome, nil)
	return outcome, err
}

// commitInserts inserts the keys in one transaction. A failure before the commit is
// sent gives NotRun, because nothing can have been committed.
func (s *session) commitInserts(ctx context.Context, conn *pgx.Conn, keys ...string) (oracle.Outcome, error) {
	tx, err := conn.Begin(ctx)
	if err != nil {
		return oracle.NotRun, err
	}
	for _, key := range keys {
		if _, err := tx.Exec(ctx, sqlInsert, key, rowValue(key)); err != nil {
			// A rollback fails only when the connection is closed, which rolls back too.
			_ = tx.Rollback(ctx)
			return oracle.NotRun, err
		}
	}
	err = tx.Commit(ctx)
	return classifyError(err), err
}

// read sends a read of each key in one pipeline and checks every result.
func (s *session) read(ctx context.Context, conn *pgx.Conn, sample *measure.Sample, keys ...string) (oracle.Outcome, error) {
	maxAge := s.phase.cfg.Load.MaxAge()
	if !s.statesMaxAge {
		maxAge = -1
	}
	batch := &pgx.Batch{}
	for _, key := range keys {
		expected := s.oracle.Expect(s.oracleSession(), key, s.phase.now(), maxAge)
		batch.Queue(sqlRead, key).QueryRow(func(row pgx.Row) error {
			return s.checkRow(row, expected, sample)
		})
	}
	err := conn.SendBatch(ctx, batch).Close()
	return classifyError(err), err
}

// checkRow counts a read by the role of the target that served it and checks its result.
func (s *session) checkRow(row pgx.Row, expected oracle.Expectation, sample *measure.Sample) error {
	var value, inHotStandby string
	err := row.Scan(&value, &inHotStandby)
	notFound := errors.Is(err, pgx.ErrNoRows)
	if err != nil && !notFound {
		return err
	}
	fromReplica := inHotStandby == "on"
	if fromReplica {
		sample.ReplicaReads++
	} else if !notFound {
		sample.PrimaryReads++
	}
	role := "primary"
	switch {
	case notFound:
		role = "unknown target"
	case fromReplica:
		role = "replica"
	}
	source := fmt.Sprintf("session %s, states a maximum age %t, two connections %t, read from %s", s.oracleSession(), s.statesMaxAge, s.dualConn, role)
	s.oracle.CheckRead(expected, oracle.ReadResult{Value: value, Found: !notFound, Source: source}, s.phase.now())
	return nil
}
