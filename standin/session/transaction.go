package session

import (
	"context"
	"strconv"
	"time"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/statement"
)

// beginTransactionBlock opens a transaction block. An open transaction, implicit or not,
// continues in it.
func (s *Session) beginTransactionBlock(st statement.Statement) result {
	if s.transaction == nil {
		s.transaction = s.cfg.Database.Begin(st.ReadOnly)
	}
	s.inTransactionBlock = true
	return result{tag: st.Tag}
}

// commitTransactionBlock commits, or rolls back a transaction block that has failed.
func (s *Session) commitTransactionBlock() (result, error) {
	if s.transactionFailed {
		s.rollback()
		return result{tag: "ROLLBACK"}, nil
	}
	return result{tag: "COMMIT"}, s.commitTransaction()
}

// commitImplicit commits the open transaction unless it is a transaction block.
func (s *Session) commitImplicit() error {
	if s.inTransactionBlock {
		return nil
	}
	return s.commitTransaction()
}

// commitTransaction commits the open transaction and destroys its portals. It
// returns errSessionClosed when a fault drops the response to a commit with
// changes.
func (s *Session) commitTransaction() error {
	transaction := s.transaction
	if transaction == nil {
		return nil
	}
	s.transaction, s.inTransactionBlock, s.transactionFailed = nil, false, false
	clear(s.portals)
	hasWritten := transaction.ID() != 0
	if err := transaction.Commit(); err != nil {
		return err
	}
	if hasWritten && s.cfg.Server.DropCommitResponse() {
		return errSessionClosed
	}
	return nil
}

// rollback rolls back the open transaction, if any, and destroys its portals.
func (s *Session) rollback() {
	if s.transaction != nil {
		s.transaction.Rollback()
	}
	s.transaction, s.inTransactionBlock, s.transactionFailed = nil, false, false
	clear(s.portals)
}

// sleepSeconds implements pg_sleep. It waits for the duration unless the statement is
// canceled.
func sleepSeconds(ctx context.Context, seconds string) error {
	duration, err := strconv.ParseFloat(seconds, 64)
	if err != nil {
		return &database.Error{Code: "22P02", Message: "invalid input syntax for type double precision"}
	}
	timer := time.NewTimer(time.Duration(duration * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &database.Error{Code: database.CodeQueryCanceled, Message: "canceling statement due to user request"}
	}
}
