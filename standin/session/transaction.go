package session

import (
	"context"
	"strconv"
	"time"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/statement"
)

// beginBlock opens an explicit transaction; within one it changes nothing.
func (s *Session) beginBlock(st statement.Statement) result {
	if s.transaction == nil {
		s.transaction = s.cfg.Database.Begin(st.ReadOnly)
	}
	s.inTransactionBlock = true
	return result{tag: st.Tag}
}

func (s *Session) commitBlock() (result, error) {
	if s.transactionFailed {
		s.rollback()
		return result{tag: "ROLLBACK"}, nil
	}
	return result{tag: "COMMIT"}, s.commitTransaction()
}

// commitImplicit commits a transaction that no BEGIN opened.
func (s *Session) commitImplicit() error {
	if s.inTransactionBlock {
		return nil
	}
	return s.commitTransaction()
}

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

func (s *Session) rollback() {
	if s.transaction != nil {
		s.transaction.Rollback()
	}
	s.transaction, s.inTransactionBlock, s.transactionFailed = nil, false, false
	clear(s.portals)
}

// sleep waits until the time is up or the statement is canceled.
func sleep(ctx context.Context, seconds string) error {
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
