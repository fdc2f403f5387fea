// Package session serves one client connection of an emulated PostgreSQL server:
// protocol version 3.0 with simple and extended queries, COPY, TLS, password or
// SCRAM authentication, and cancel requests.
//
// It runs statements on a database.Database. Limits, delays and faults are up to
// the emulated server, which the session calls through Server.
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

// Server is a session's view of the emulated server that it belongs to. Its methods
// are called by the goroutine that runs Serve.
type Server interface {
	// WaitUntilReachable blocks while a fault cuts the server off from its callers.
	// It returns an error when the server has stopped.
	WaitUntilReachable() error
	// AdmitSession registers a session that logs in, and waits for the time that the
	// emulated server needs for a login. It returns a *database.Error when the server
	// has reached its connection limit.
	AdmitSession(session *Session) (CancelKey, error)
	// RecordStartupParameters records the parameters of a startup message.
	RecordStartupParameters(parameters map[string]string)
	// CancelStatement cancels the running statement of the session with the key. It
	// does nothing when there is none.
	CancelStatement(cancelKey CancelKey)
	// AcquireStatementSlot waits for a free slot and then for the time that the
	// emulated server needs for a statement. The slot is held until release is
	// called.
	AcquireStatementSlot(ctx context.Context) (release func(), err error)
	// DropCommitResponse reports whether the connection is to be closed instead of
	// responding to a commit that has just taken effect.
	DropCommitResponse() bool
}

// CancelKey identifies a session in a CancelRequest. The client receives it as
// BackendKeyData.
type CancelKey struct {
	ProcessID uint32
	SecretKey uint32
}

// Config configures a Session.
type Config struct {
	Server   Server
	Database *database.Database
	// Target is the result of the SQL function samphirehitch_target, by which
	// callers see which target ran a statement.
	Target string
	// User and Password are the login that the client must give. An empty Password
	// admits every login without authentication.
	User     string
	Password string
	// Verifier checks the password by SCRAM. Nil requests it in clear text.
	Verifier *Verifier
	// TLS encrypts the connection on request. Nil refuses encryption.
	TLS *tls.Config
}

// maxMessageBytes bounds the body of one message from the client.
const maxMessageBytes = 16 << 20

// Session is one client connection. One goroutine runs Serve; Terminate, Close and
// Cancel may be called from others.
type Session struct {
	cfg Config
	// conn is replaced, with mu held, when TLS is negotiated.
	conn    net.Conn
	backend *pgproto3.Backend

	// transaction is the open transaction, explicit or implicit, or nil.
	transaction *database.Transaction
	// inTransactionBlock is set between BEGIN and COMMIT or ROLLBACK.
	inTransactionBlock bool
	// transactionFailed is set when a statement of a transaction block has failed.
	// Statements are then refused until the block is closed.
	transactionFailed bool
	// skipUntilSync ignores messages after an error in the extended protocol until
	// the next Sync.
	skipUntilSync bool
	prepared      map[string]preparedStatement
	portals       map[string]*portal

	mu struct {
		sync.Mutex
		// cancel cancels the running statement. It is nil between statements.
		cancel     context.CancelFunc
		terminated bool
	}
}

// New returns a session on an accepted connection, which Serve then runs.
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

// errSessionClosed makes Serve close the connection without an error message.
var errSessionClosed = errors.New("session closed")

// Serve runs the session until the client or the server closes it, rolls back an
// open transaction and closes the connection.
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

// reportTermination sends SQLSTATE 57P01 when err is due to Terminate.
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

// Terminate cancels the running statement and closes the session with SQLSTATE
// 57P01. A deadline in the past interrupts a read that waits for the client.
func (s *Session) Terminate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.terminated = true
	if s.mu.cancel != nil {
		s.mu.cancel()
	}
	// An error means that the connection is closed already.
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// Close closes the connection immediately, without a message to the client.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.cancel != nil {
		s.mu.cancel()
	}
	s.conn.Close()
}

// Cancel cancels the running statement, if any.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.cancel != nil {
		s.mu.cancel()
	}
}

// statementContext returns a context that Cancel, Terminate and Close cancel. The
// returned function must be called after the statement.
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

// handleMessage receives and handles one message. An error closes the session.
func (s *Session) handleMessage() error {
	message, err := s.backend.Receive()
	if err != nil {
		return eris.Wrap(err, "receive message")
	}
	if s.isTerminated() {
		// The message arrived before Terminate had set the read deadline.
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
		return s.handleQuery(message.String)
	case *pgproto3.Parse:
		return s.handleExtendedError(s.handleParse(message))
	case *pgproto3.Bind:
		return s.handleExtendedError(s.handleBind(message))
	case *pgproto3.Describe:
		return s.handleExtendedError(s.handleDescribe(message))
	case *pgproto3.Execute:
		return s.handleExtendedError(s.handleExecute(message))
	case *pgproto3.Close:
		return s.handleExtendedError(s.handleClose(message))
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Terminate:
		return errSessionClosed
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// The client sent these before it received the error of its COPY.
		return nil
	default:
		s.sendFatal("08P01", "unexpected message")
		return errors.Join(s.flush(), errSessionClosed)
	}
}

// flush sends the buffered messages once no fault cuts the server off.
func (s *Session) flush() error {
	if err := s.cfg.Server.WaitUntilReachable(); err != nil {
		return err
	}
	return eris.Wrap(s.backend.Flush(), "send response")
}

// handleQuery runs the statements of a Query message, up to the first that fails.
// Without a transaction block they form one implicit transaction.
func (s *Session) handleQuery(text string) error {
	queries := statement.SplitStatements(text)
	if len(queries) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, query := range queries {
		err := s.runSimpleStatement(statement.Recognize(query), i == len(queries)-1)
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

// runSimpleStatement runs one statement of a Query message. The implicit transaction
// commits before the response to the last statement is sent.
func (s *Session) runSimpleStatement(st statement.Statement, last bool) error {
	output, err := s.runStatement(st, nil)
	if err != nil {
		return err
	}
	if last {
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	if output.copyLines != nil {
		return s.sendCopy(output)
	}
	if st.Columns != nil {
		s.backend.Send(newRowDescription(st.Columns, nil))
	}
	s.sendRows(output, output.rows, nil)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(output.tag)})
	return nil
}

// handleSync commits the implicit transaction of a pipeline and stops skipping
// messages after an error.
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

// failStatement sends an error, and marks the transaction block as failed or rolls
// back the implicit transaction.
func (s *Session) failStatement(err error) {
	s.sendError("ERROR", err)
	if s.inTransactionBlock {
		s.transactionFailed = true
		return
	}
	s.rollback()
}

// sendError sends an error with its SQLSTATE, or with XX000 when it is not a
// *database.Error.
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
