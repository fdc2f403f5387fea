package load

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"samphirehitch.example/samphirehitch/load/measure"
	"samphirehitch.example/samphirehitch/load/oracle"
	"samphirehitch.example/samphirehitch/load/workload"
)

// session is one session of a customer. It sends its requests one after another, on
// one connection or, with dualConn, on one of two that it selects for each request.
// Fields that change after newSession are used only by the goroutine of run.
type session struct {
	phase    *phase
	customer int
	// index is the session's index among those of its customer.
	index   int
	service int
	// statesMaxAge and dualConn say whether the session sends samphirehitch.max_age,
	// and whether it has two connections.
	statesMaxAge bool
	dualConn     bool
	// mode selects the protocol of its queries: extended, extended with prepared
	// statements, or simple.
	mode       pgx.QueryExecMode
	operations chan workload.Operation
	oracle     *oracle.Oracle

	conns []sessionConn
	// token is the latest session token that a daemon returned, or empty.
	token string
	// generation counts how often the session gave up its floor. The oracle sees
	// each generation as a session of its own.
	generation  int
	insertCount int
	// lastInsertKey is the key of the latest insert, or empty before the first.
	lastInsertKey string
}

// sessionConn is one connection of a session. Its conn is nil while it is closed;
// daemon is the index of the daemon that it uses, or will use next.
type sessionConn struct {
	conn   *pgx.Conn
	daemon int
}

// newSession derives the session's properties from its customer and index alone, so
// that a load file always gives the same sessions.
func newSession(p *phase, customer, index int) *session {
	load := p.cfg.Load
	position := float64(index) / float64(load.Customers[customer].Sessions)
	s := &session{
		phase:        p,
		customer:     customer,
		index:        index,
		service:      (customer + index) % len(p.services),
		statesMaxAge: position < load.MaxAgeShare,
		dualConn:     position >= load.MaxAgeShare && position < load.MaxAgeShare+load.DualConnShare,
		mode:         pgx.QueryExecModeExec,
		operations:   make(chan workload.Operation, operationQueueSize),
		conns:        make([]sessionConn, 1),
	}
	switch {
	case position >= 1-load.PreparedShare:
		s.mode = pgx.QueryExecModeCacheStatement
	case index%2 == 1:
		s.mode = pgx.QueryExecModeSimpleProtocol
	}
	if s.dualConn {
		s.conns = make([]sessionConn, 2)
	}
	for i := range s.conns {
		s.conns[i].daemon = (customer + index + i) % p.dialer.daemonCount()
	}
	s.oracle = p.oracles[s.service]
	return s
}

// name is the session's name, sent as samphirehitch.session by sessions with two
// connections, and the prefix of its rows' keys.
func (s *session) name() string {
	return fmt.Sprintf("%s/%d/%d", s.phase.name, s.customer, s.index)
}

// oracleSession returns the name under which the oracle knows the session now.
func (s *session) oracleSession() oracle.Session {
	return oracle.Session(fmt.Sprintf("%s#%d", s.name(), s.generation))
}

func (s *session) counterKey() string { return s.name() + "/counter" }

func (s *session) nextInsertKey() string {
	s.insertCount++
	return fmt.Sprintf("%s/order/%d", s.name(), s.insertCount)
}

// run handles operations until the channel is closed. Once ctx is done, it discards
// the remaining ones.
func (s *session) run(ctx context.Context) {
	defer s.close()
	for op := range s.operations {
		if ctx.Err() == nil {
			s.handle(ctx, op)
		}
	}
}

func (s *session) close() {
	for i := range s.conns {
		s.disconnect(&s.conns[i])
	}
}

// handle sends one operation and records its sample.
func (s *session) handle(ctx context.Context, op workload.Operation) {
	ctx, cancel := context.WithTimeout(ctx, s.phase.cfg.Load.Timeout())
	defer cancel()
	c := &s.conns[op.RandomBits%uint64(len(s.conns))]
	s.reconnect(c, op.Reconnect)
	start := s.phase.now()
	sample := measure.Sample{
		Customer:   s.customer,
		Service:    s.service,
		Write:      op.Kind.Writes(),
		Arrival:    op.ArrivesAt,
		Start:      start,
		WithinRate: s.phase.idealLimiters[s.customer].allow() && !s.phase.keyWithdrawn(s.customer),
	}
	err := s.connect(ctx, c)
	switch {
	case err != nil:
		sample.Outcome, sample.SQLState = oracle.NotRun, sqlState(err)
	case !s.phase.dialer.admit(s.customer, c.daemon):
		// The SQLSTATE with which daemons refuse requests over the rate.
		sample.Outcome, sample.SQLState = oracle.NotRun, "53400"
	default:
		s.execute(ctx, c.conn, op, &sample)
	}
	sample.End = s.phase.now()
	s.phase.collector.Add(sample)
	s.finishRequest(c, sample)
}

// finishRequest checks that a withdrawn key was rejected, stores the latest token and
// discards a connection that was closed. The next connection then goes to another daemon.
func (s *session) finishRequest(c *sessionConn, sample measure.Sample) {
	if sample.Outcome == oracle.Confirmed && s.phase.keyMustBeRejected(s.customer, sample.Start) {
		s.oracle.Report(oracle.Violation{
			Rule: oracle.RuleWithdrawnKey, At: sample.End,
			Detail: fmt.Sprintf("a request of customer %d ran after its key was withdrawn", s.customer),
		})
	}
	if c.conn == nil {
		s.selectNextDaemon(c)
		return
	}
	if token := c.conn.PgConn().ParameterStatus(parameterToken); token != "" {
		s.token = token
	}
	if c.conn.IsClosed() {
		s.disconnect(c)
		s.selectNextDaemon(c)
	}
}

// reconnect closes the connection if the operation says so, with or without keeping
// the session token. A session that states a maximum age gives up its floor with the
// token.
func (s *session) reconnect(c *sessionConn, reconnect workload.Reconnect) {
	if reconnect == workload.NoReconnect {
		return
	}
	s.disconnect(c)
	if reconnect == workload.ReconnectWithoutToken {
		s.token = ""
		if s.statesMaxAge {
			s.generation++
		}
	}
	s.selectNextDaemon(c)
}

// connect opens the connection if it is closed. If a daemon cannot be reached, it
// tries the next one, as a load balancer in front of the daemons does.
func (s *session) connect(ctx context.Context, c *sessionConn) error {
	if c.conn != nil {
		return nil
	}
	var err error
	for range s.phase.dialer.daemonCount() {
		c.conn, err = s.phase.dialer.dial(ctx, s.newConnectRequest(c.daemon))
		if err == nil || sqlState(err) != "" || ctx.Err() != nil {
			return err
		}
		s.selectNextDaemon(c)
	}
	return err
}

func (s *session) newConnectRequest(daemon int) connectRequest {
	request := connectRequest{
		customer:     s.customer,
		service:      &s.phase.services[s.service],
		daemon:       daemon,
		token:        s.token,
		statesMaxAge: s.statesMaxAge,
		mode:         s.mode,
	}
	if s.dualConn {
		request.sessionName = s.name()
	}
	return request
}

// selectNextDaemon makes the connection use the next daemon when it is opened again.
func (s *session) selectNextDaemon(c *sessionConn) {
	c.daemon = (c.daemon + 1) % s.phase.dialer.daemonCount()
}

func (s *session) disconnect(c *sessionConn) {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	// The server may have closed the connection already.
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// sqlState returns the SQLSTATE of a server's error, or empty for any other error.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// Prefixes and values of SQLSTATEs (PostgreSQL documentation, appendix A). Errors of
// the two classes leave the outcome of a statement unknown unless the message says
// that it did not run.
const (
	classConnectionException  = "08"
	classOperatorIntervention = "57P0"
	codeUniqueViolation       = "23505"
)

// classifyError returns the outcome of a statement that a caller can conclude from
// its error.
func classifyError(err error) oracle.Outcome {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return oracle.Confirmed
	case errors.As(err, &pgErr):
		return classifyServerError(pgErr)
	case pgconn.SafeToRetry(err), errors.Is(err, pgx.ErrTxCommitRollback):
		return oracle.NotRun
	default:
		return oracle.Unknown
	}
}

// classifyServerError reads the outcome from the message of a daemon's error, or else
// from the SQLSTATE. Other errors are failures of the statement itself, which then had
// no effect.
func classifyServerError(pgErr *pgconn.PgError) oracle.Outcome {
	switch {
	case strings.Contains(pgErr.Message, "not run"):
		return oracle.NotRun
	case strings.Contains(pgErr.Message, "outcome unknown"):
		return oracle.Unknown
	case strings.HasPrefix(pgErr.Code, classConnectionException), strings.HasPrefix(pgErr.Code, classOperatorIntervention):
		return oracle.Unknown
	default:
		return oracle.NotRun
	}
}
