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

// session is one user of a customer: requests one after the other, on one
// connection or, when paired, on two in turn.
type session struct {
	phase      *phase
	customer   int
	number     int
	service    int
	aged       bool
	paired     bool
	mode       pgx.QueryExecMode
	operations chan workload.Operation
	oracle     *oracle.Oracle

	links []link
	token string
	// generation counts how often the session gave up its floor.
	generation int
	orders     int
	// lastOrder is the key of the latest insert, or empty.
	lastOrder string
}

// link is one connection of a session.
type link struct {
	conn  *pgx.Conn
	entry int
}

func newSession(p *phase, customer, number int) *session {
	load := p.cfg.Load
	part := float64(number) / float64(load.Customers[customer].Sessions)
	s := &session{
		phase:      p,
		customer:   customer,
		number:     number,
		service:    (customer + number) % len(p.services),
		aged:       part < load.AgedShare,
		paired:     part >= load.AgedShare && part < load.AgedShare+load.PairedShare,
		mode:       pgx.QueryExecModeExec,
		operations: make(chan workload.Operation, backlog),
		links:      make([]link, 1),
	}
	switch {
	case part >= 1-load.PreparedShare:
		s.mode = pgx.QueryExecModeCacheStatement
	case number%2 == 1:
		s.mode = pgx.QueryExecModeSimpleProtocol
	}
	if s.paired {
		s.links = make([]link, 2)
	}
	for i := range s.links {
		s.links[i].entry = (customer + number + i) % p.dialer.entryCount()
	}
	s.oracle = p.oracles[s.service]
	return s
}

// name is what the session calls itself and its rows.
func (s *session) name() string {
	return fmt.Sprintf("%s/%d/%d", s.phase.name, s.customer, s.number)
}

// identity names the session to the oracle.
func (s *session) identity() oracle.Session {
	return oracle.Session(fmt.Sprintf("%s#%d", s.name(), s.generation))
}

func (s *session) counterKey() string { return s.name() + "/counter" }

func (s *session) nextOrderKey() string {
	s.orders++
	return fmt.Sprintf("%s/order/%d", s.name(), s.orders)
}

// run handles the operations until the channel is closed or ctx ends.
func (s *session) run(ctx context.Context) {
	defer s.close()
	for op := range s.operations {
		if ctx.Err() == nil {
			s.handle(ctx, op)
		}
	}
}

func (s *session) close() {
	for i := range s.links {
		s.disconnect(&s.links[i])
	}
}

func (s *session) handle(ctx context.Context, op workload.Operation) {
	ctx, cancel := context.WithTimeout(ctx, s.phase.cfg.Load.Timeout())
	defer cancel()
	to := &s.links[op.Choice%uint64(len(s.links))]
	s.roam(to, op.Roam)
	start := s.phase.now()
	sample := measure.Sample{
		Customer:   s.customer,
		Service:    s.service,
		Write:      op.Kind.Writes(),
		Arrival:    op.At,
		Start:      start,
		WithinRate: s.phase.reference[s.customer].allow() && !s.phase.keyWithdrawn(s.customer),
	}
	err := s.connect(ctx, to)
	switch {
	case err != nil:
		sample.Outcome, sample.Code = oracle.NotRun, sqlState(err)
	case !s.phase.dialer.admit(s.customer, to.entry):
		sample.Outcome, sample.Code = oracle.NotRun, "53400"
	default:
		s.perform(ctx, to.conn, op, &sample)
	}
	sample.End = s.phase.now()
	s.phase.collector.Add(sample)
	s.settle(to, sample)
}

// settle keeps the token and gives up a connection that has ended.
func (s *session) settle(from *link, sample measure.Sample) {
	if sample.Outcome == oracle.Confirmed && s.phase.keyExpired(s.customer, sample.Start) {
		s.oracle.Report(oracle.Violation{
			Rule: oracle.RuleWithdrawnKey, At: sample.End,
			Detail: fmt.Sprintf("a request of customer %d ran after its key was withdrawn", s.customer),
		})
	}
	if from.conn == nil {
		s.moveOn(from)
		return
	}
	if token := from.conn.PgConn().ParameterStatus(parameterToken); token != "" {
		s.token = token
	}
	if from.conn.IsClosed() {
		s.disconnect(from)
		s.moveOn(from)
	}
}

func (s *session) roam(from *link, how workload.Roam) {
	if how == workload.Stay {
		return
	}
	s.disconnect(from)
	if how == workload.RoamWithout {
		s.token = ""
		if s.aged {
			s.generation++
		}
	}
	s.moveOn(from)
}

// connect opens the link when it is closed. A daemon that can't be reached is
// passed over for the next one, as the balancer in front of the daemons does.
func (s *session) connect(ctx context.Context, to *link) error {
	if to.conn != nil {
		return nil
	}
	var err error
	for range s.phase.dialer.entryCount() {
		to.conn, err = s.phase.dialer.dial(ctx, s.connectRequest(to.entry))
		if err == nil || sqlState(err) != "" || ctx.Err() != nil {
			return err
		}
		s.moveOn(to)
	}
	return err
}

func (s *session) connectRequest(entry int) connectRequest {
	request := connectRequest{
		customer: s.customer,
		service:  &s.phase.services[s.service],
		entry:    entry,
		token:    s.token,
		aged:     s.aged,
		mode:     s.mode,
	}
	if s.paired {
		request.name = s.name()
	}
	return request
}

// moveOn makes the link's next connection go to another daemon.
func (s *session) moveOn(from *link) {
	from.entry = (from.entry + 1) % s.phase.dialer.entryCount()
}

func (s *session) disconnect(from *link) {
	if from.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	// The peer may be gone already.
	_ = from.conn.Close(ctx)
	from.conn = nil
}

func sqlState(err error) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}
	return ""
}

// SQLSTATEs that leave the outcome of a statement open unless the message says
// that it did not run (PostgreSQL documentation, appendix A).
const (
	classConnection   = "08"
	classIntervention = "57P0"
	codeDuplicateKey  = "23505"
)

// outcomeOf judges an error by what its caller was told.
func outcomeOf(err error) oracle.Outcome {
	var failure *pgconn.PgError
	switch {
	case err == nil:
		return oracle.Confirmed
	case errors.As(err, &failure):
		return outcomeOfAnswer(failure)
	case pgconn.SafeToRetry(err), errors.Is(err, pgx.ErrTxCommitRollback):
		return oracle.NotRun
	default:
		return oracle.Unknown
	}
}

func outcomeOfAnswer(failure *pgconn.PgError) oracle.Outcome {
	switch {
	case strings.Contains(failure.Message, "not run"):
		return oracle.NotRun
	case strings.Contains(failure.Message, "outcome unknown"):
		return oracle.Unknown
	case strings.HasPrefix(failure.Code, classConnection), strings.HasPrefix(failure.Code, classIntervention):
		return oracle.Unknown
	default:
		return oracle.NotRun
	}
}
