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

// Statements of the load. The table kv has a key and a value, both text.
const (
	sqlRead      = "SELECT value, current_setting('in_hot_standby') FROM kv WHERE key = $1"
	sqlIncrement = "UPDATE kv SET value = value + 1 WHERE key = $1"
	sqlInsert    = "INSERT INTO kv VALUES ($1, $2)"
)

// perform sends one operation and records how it ended.
func (s *session) perform(ctx context.Context, conn *pgx.Conn, op workload.Operation, sample *measure.Sample) {
	var err error
	switch op.Kind {
	case workload.Increment:
		sample.Outcome, err = s.increment(ctx, conn, s.counterOf(op.Choice))
	case workload.Insert:
		sample.Outcome, err = s.insert(ctx, conn)
	case workload.Transaction:
		sample.Outcome, err = s.transaction(ctx, conn)
	case workload.ReadPair:
		sample.Outcome, err = s.read(ctx, conn, sample, s.counterKey(), s.sharedKey(op.Choice))
	default:
		sample.Outcome, err = s.read(ctx, conn, sample, s.readKey(op.Choice))
	}
	sample.Code = sqlState(err)
}

// choiceShift drops the bits of a choice that picked the link.
const choiceShift = 8

func (s *session) sharedKey(choice uint64) string {
	return s.phase.sharedKey(int(choice>>choiceShift) % s.phase.cfg.Load.SharedCounters)
}

func (s *session) counterOf(choice uint64) string {
	if choice>>1&1 == 0 {
		return s.counterKey()
	}
	return s.sharedKey(choice)
}

func (s *session) readKey(choice uint64) string {
	const ways = 3
	switch (choice >> 1) % ways {
	case 0:
		return s.sharedKey(choice)
	case 1:
		if s.lastOrder != "" {
			return s.lastOrder
		}
	}
	return s.counterKey()
}

func (s *session) increment(ctx context.Context, conn *pgx.Conn, key string) (oracle.Outcome, error) {
	s.oracle.StartIncrement(key)
	tag, err := conn.Exec(ctx, sqlIncrement, key)
	outcome := outcomeOf(err)
	now := s.phase.now()
	s.oracle.EndIncrement(s.identity(), key, now, outcome)
	if err == nil && tag.RowsAffected() != 1 {
		detail := fmt.Sprintf("an increment answered %q", tag)
		s.oracle.Report(oracle.Violation{Rule: oracle.RuleRightAnswer, At: now, Key: key, Detail: detail})
	}
	return outcome, err
}

func (s *session) insert(ctx context.Context, conn *pgx.Conn) (oracle.Outcome, error) {
	key := s.nextOrderKey()
	s.oracle.StartInsert(s.identity(), key, valueOf(key))
	_, err := conn.Exec(ctx, sqlInsert, key, valueOf(key))
	s.endInsert(key, outcomeOf(err), err)
	return outcomeOf(err), err
}

func (s *session) endInsert(key string, outcome oracle.Outcome, err error) {
	if sqlState(err) == codeDuplicateKey {
		s.oracle.Duplicate(key, s.phase.now())
		outcome = oracle.Unknown
	}
	s.oracle.EndInsert(key, s.phase.now(), outcome)
	s.lastOrder = key
}

// valueOf returns what the row of a key holds.
func valueOf(key string) string { return "value of " + key }

// transaction inserts two rows together.
func (s *session) transaction(ctx context.Context, conn *pgx.Conn) (oracle.Outcome, error) {
	first, second := s.nextOrderKey(), s.nextOrderKey()
	for _, key := range []string{first, second} {
		s.oracle.StartInsert(s.identity(), key, valueOf(key))
	}
	s.oracle.Together(first, second)
	outcome, err := s.insertBoth(ctx, conn, first, second)
	s.endInsert(first, outcome, err)
	s.endInsert(second, outcome, nil)
	return outcome, err
}

// insertBoth reports NotRun for a failure before the commit was sent: nothing
// can commit then.
func (s *session) insertBoth(ctx context.Context, conn *pgx.Conn, keys ...string) (oracle.Outcome, error) {
	tx, err := conn.Begin(ctx)
	if err != nil {
		return oracle.NotRun, err
	}
	for _, key := range keys {
		if _, err := tx.Exec(ctx, sqlInsert, key, valueOf(key)); err != nil {
			// A failed rollback means that the connection has ended.
			_ = tx.Rollback(ctx)
			return oracle.NotRun, err
		}
	}
	err = tx.Commit(ctx)
	return outcomeOf(err), err
}

// read sends a read of each key in one flight and checks every answer.
func (s *session) read(ctx context.Context, conn *pgx.Conn, sample *measure.Sample, keys ...string) (oracle.Outcome, error) {
	age := s.phase.cfg.Load.Age()
	if !s.aged {
		age = -1
	}
	batch := &pgx.Batch{}
	for _, key := range keys {
		expected := s.oracle.Expect(s.identity(), key, s.phase.now(), age)
		batch.Queue(sqlRead, key).QueryRow(func(row pgx.Row) error {
			return s.checkAnswer(row, expected, sample)
		})
	}
	err := conn.SendBatch(ctx, batch).Close()
	return outcomeOf(err), err
}

func (s *session) checkAnswer(row pgx.Row, expected oracle.Expectation, sample *measure.Sample) error {
	var value, standby string
	err := row.Scan(&value, &standby)
	missing := errors.Is(err, pgx.ErrNoRows)
	if err != nil && !missing {
		return err
	}
	replica := standby == "on"
	if replica {
		sample.ReplicaReads++
	} else if !missing {
		sample.PrimaryReads++
	}
	from := "primary"
	switch {
	case missing:
		from = "unknown target"
	case replica:
		from = "replica"
	}
	by := fmt.Sprintf("session %s, aged %t, paired %t, read from %s", s.identity(), s.aged, s.paired, from)
	s.oracle.CheckRead(expected, oracle.Answer{Value: value, Found: !missing, By: by}, s.phase.now())
	return nil
}
