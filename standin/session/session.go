// Package session serves one connection of the PostgreSQL protocol, version 3.0,
// in front of a model of a database server. It decides nothing about replication
// and injects no fault itself; its host does both through Host.
package session

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/statement"
)

// Server is the server that a session belongs to.
type Server interface {
	// WaitUntilReachable waits while the server is cut off from its callers. It returns an
	// error once the server stops.
	WaitUntilReachable() error
	// AdmitSession spends what a connection costs and counts it. It returns a
	// *database.Error when the server has no room.
	AdmitSession(session *Session) (CancelKey, error)
	// RecordStartupParameters takes the startup parameters that a caller sent.
	RecordStartupParameters(parameters map[string]string)
	// CancelStatement stops the running statement of the session of that identity.
	CancelStatement(identity CancelKey)
	// AcquireStatementSlot waits for a slot and spends the time of a statement. The slot is
	// taken until release is called.
	AcquireStatementSlot(ctx context.Context) (release func(), err error)
	// DropCommitResponse reports whether the answer to a commit that has just taken
	// effect is to be lost with the connection.
	DropCommitResponse() bool
}

// CancelKey is the key data with which a caller cancels a statement.
type CancelKey struct {
	ProcessID uint32
	SecretKey uint32
}

// Config sets up sessions.
type Config struct {
	Server   Server
	Database *database.Database
	// Target is what the samphirehitch_target function returns.
	Target string
	// User and Password are checked when Password is not empty.
	User     string
	Password string
	// Verifier, when not nil, proves the password by SCRAM; otherwise it is
	// asked for in clear text.
	Verifier *Verifier
	// TLS is nil when the server refuses encryption.
	TLS *tls.Config
}

// maxMessageBytes bounds one message of a caller.
const maxMessageBytes = 16 << 20

// Session is one connection.
type Session struct {
	cfg     Config
	conn    net.Conn
	backend *pgproto3.Backend

	transaction        *database.Transaction
	inTransactionBlock bool
	transactionFailed  bool
	// skipUntilSync drops messages up to the next Sync, after an error.
	skipUntilSync bool
	prepared      map[string]preparedStatement
	portals       map[string]*portal

	mu struct {
		sync.Mutex
		cancel     context.CancelFunc
		terminated bool
	}
}

// New returns a session on an accepted connection.
func New(cfg Config, conn net.Conn) *Session {
	return &Session{
		cfg:      cfg,
		conn:     conn,
		backend:  newBackend(conn),
		prepared: make(map[string]preparedStatement),
		portals:  make(map[string]*portal),
	}
}

func newBackend(conn net.Conn) *pgproto3.Backend {
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(maxMessageBytes)
	return backend
}

// errSessionClosed ends a session without a message.
var errSessionClosed = errors.New("session closed")

// Serve runs the session until it ends and closes the connection.
func (s *Session) Serve() error {
	defer s.conn.Close()
	defer s.rollback()
	ready, err := s.handleStartup()
	if err != nil || !ready {
		return err
	}
	for {
		if err := s.handleMessage(); err != nil {
			return s.reportTermination(err)
		}
	}
}

func (s *Session) reportTermination(err error) error {
	if !s.isTerminated() {
		return err
	}
	s.sendFatal(database.CodeAdminShutdown, "terminating connection due to administrator command")
	return s.flush()
}

func (s *Session) isTerminated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.terminated
}

// Terminate ends the session with SQLSTATE 57P01, also in the middle of a
// statement.
func (s *Session) Terminate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.terminated = true
	if s.mu.cancel != nil {
		s.mu.cancel()
	}
	// A failure means that the connection is closed already.
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// Close drops the connection without a message.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.cancel != nil {
		s.mu.cancel()
	}
	s.conn.Close()
}

// CancelStatement stops the running statement, if any.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.cancel != nil {
		s.mu.cancel()
	}
}

// statementContext returns a context that Cancel, Terminate and Close end.
func (s *Session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.cancel = cancel
	if s.mu.terminated {
		cancel()
	}
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mu.cancel = nil
		cancel()
	}
}

// handleMessage handles one message.
func (s *Session) handleMessage() error {
	message, err := s.backend.Receive()
	if err != nil {
		return eris.Wrap(err, "receive message")
	}
	if s.isTerminated() {
		// The message arrived while the read's deadline was being set.
		return errSessionClosed
	}
	if err := s.cfg.Server.WaitUntilReachable(); err != nil {
		return err
	}
	if s.skipUntilSync {
		if _, isSync := message.(*pgproto3.Sync); !isSync {
			if _, isTerminate := message.(*pgproto3.Terminate); !isTerminate {
				return nil
			}
		}
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(message.String)
	case *pgproto3.Parse:
		return s.handleExtendedError(s.parse(message))
	case *pgproto3.Bind:
		return s.handleExtendedError(s.bind(message))
	case *pgproto3.Describe:
		return s.handleExtendedError(s.describe(message))
	case *pgproto3.Execute:
		return s.handleExtendedError(s.execute(message))
	case *pgproto3.Close:
		return s.handleExtendedError(s.closeObject(message))
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Terminate:
		return errSessionClosed
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Left over from a COPY that failed.
		return nil
	default:
		s.sendFatal("08P01", "unexpected message")
		return errors.Join(s.flush(), errSessionClosed)
	}
}

func (s *Session) flush() error {
	if err := s.cfg.Server.WaitUntilReachable(); err != nil {
		return err
	}
	return eris.Wrap(s.backend.Flush(), "send answer")
}

func (s *Session) simpleQuery(text string) error {
	queries := statement.SplitStatements(text)
	if len(queries) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, query := range queries {
		err := s.simpleStatement(statement.Recognize(query), i == len(queries)-1)
		if errors.Is(err, errSessionClosed) {
			return err
		}
		if err != nil {
			s.failStatement(err)
			break
		}
	}
	return s.sendReadyForQuery()
}

func (s *Session) simpleStatement(st statement.Statement, last bool) error {
	result, err := s.runStatement(st, nil)
	if err != nil {
		return err
	}
	if last {
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	if result.copyLines != nil {
		return s.sendCopy(result)
	}
	if st.Columns != nil {
		s.backend.Send(rowDescription(st.Columns, nil))
	}
	s.sendRows(result, result.rows, nil)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.tag)})
	return nil
}

// handleSync ends the implicit transaction of a pipeline.
func (s *Session) handleSync() error {
	s.skipUntilSync = false
	if err := s.commitImplicit(); err != nil {
		if errors.Is(err, errSessionClosed) {
			return err
		}
		s.failStatement(err)
	}
	return s.sendReadyForQuery()
}

func (s *Session) sendReadyForQuery() error {
	status := byte('I')
	switch {
	case s.inTransactionBlock && s.transactionFailed:
		status = 'E'
	case s.inTransactionBlock:
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush()
}

// failStatement reports an error and fails the transaction.
func (s *Session) failStatement(err error) {
	s.sendError("ERROR", err)
	if s.inTransactionBlock {
		s.transactionFailed = true
		return
	}
	s.rollback()
}

func (s *Session) sendError(severity string, err error) {
	databaseError := &database.Error{Code: "XX000", Message: err.Error()}
	errors.As(err, &databaseError)
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                databaseError.Code,
		Message:             databaseError.Message,
	})
}

func (s *Session) sendFatal(code, message string) {
	s.sendError("FATAL", &database.Error{Code: code, Message: message})
}
