package session

import (
	"context"
	"strconv"
	"time"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/statement"
)

// begin opens an explicit transaction; within one it changes nothing.
func (s *Session) begin(st statement.Statement) result {
	if s.transaction == nil {
		s.transaction = s.cfg.Database.Begin(st.ReadOnly)
	}
	s.explicit = true
	return result{tag: st.Tag}
}

func (s *Session) commit() (result, error) {
	if s.failed {
		s.rollback()
		return result{tag: "ROLLBACK"}, nil
	}
	return result{tag: "COMMIT"}, s.settle()
}

// finishImplicit commits a transaction that no BEGIN opened.
func (s *Session) finishImplicit() error {
	if s.explicit {
		return nil
	}
	return s.settle()
}

func (s *Session) settle() error {
	t := s.transaction
	if t == nil {
		return nil
	}
	s.transaction, s.explicit, s.failed = nil, false, false
	clear(s.portals)
	wrote := t.ID() != 0
	if err := t.Commit(); err != nil {
		return err
	}
	if wrote && s.cfg.Host.DropAnswer() {
		return errClosed
	}
	return nil
}

func (s *Session) rollback() {
	if s.transaction != nil {
		s.transaction.Rollback()
	}
	s.transaction, s.explicit, s.failed = nil, false, false
	clear(s.portals)
}

// sleep waits until the time is up or the statement is canceled.
func sleep(ctx context.Context, seconds string) error {
	length, err := strconv.ParseFloat(seconds, 64)
	if err != nil {
		return &database.Error{Code: "22P02", Message: "invalid input syntax for type double precision"}
	}
	timer := time.NewTimer(time.Duration(length * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &database.Error{Code: database.CodeQueryCanceled, Message: "canceling statement due to user request"}
	}
}
