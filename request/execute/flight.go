package execute

import (
	"errors"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/upstream"
)

// status is the transaction status that a caller sees.
type status = upstream.TransactionStatus

// Statuses.
const (
	statusIdle          = upstream.Idle
	statusInTransaction = upstream.InTransaction
	statusFailed        = upstream.Failed
)

// Statements that are added around those of callers.
const (
	queryBegin            = "BEGIN"
	queryBeginReadOnly    = "BEGIN READ ONLY"
	queryCommit           = "COMMIT"
	queryRollback         = "ROLLBACK"
	queryTransaction      = "SELECT pg_current_xact_id_if_assigned()"
	queryResetAll         = "RESET ALL"
	queryDiscardTemporary = "DISCARD TEMP"
)

// Command tags of the statements that are added.
const (
	tagBegin    = "BEGIN"
	tagStart    = "START TRANSACTION"
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
	tagSelect   = "SELECT"
	tagSet      = "SET"
	tagReset    = "RESET"
	tagDiscard  = "DISCARD"
)

// errTargetLost reports that a target ended the session.
var errTargetLost = errors.New("target ended the session")

// flight is the exchange of one request on one target connection. Requests that
// the flight adds are queued first and answered in the same order.
type flight struct {
	conn *upstream.Conn
	out  *relay
	// holding is set when the last CommandComplete waits for a commit.
	holding bool
}

// answer is the outcome of a statement that the flight added.
type answer struct {
	tag   string
	value []byte
	// failure is the target's error, if any.
	failure *pgproto3.ErrorResponse
}

// queue adds a statement of its own; await takes its answer.
func (f *flight) queue(query string) { f.conn.Send(&pgproto3.Query{String: query}) }

// await receives the whole answer to the next queued statement, whose command
// tag has to begin with one of the given. A target that answers another
// statement breaks the protocol.
func (f *flight) await(tags ...string) (answer, error) {
	a, err := f.receive()
	if err != nil || a.failure != nil {
		return a, err
	}
	for _, tag := range tags {
		if strings.HasPrefix(a.tag, tag) {
			return a, nil
		}
	}
	f.conn.MarkBroken()
	return a, &upstream.ProtocolError{Target: f.conn.Target(), Reason: "answer of another request"}
}

func (f *flight) receive() (answer, error) {
	var a answer
	for {
		message, err := f.conn.Receive()
		if err != nil {
			return answer{}, err
		}
		switch message := message.(type) {
		case *pgproto3.ReadyForQuery:
			return a, nil
		case *pgproto3.CommandComplete:
			a.tag = string(message.CommandTag)
		case *pgproto3.DataRow:
			if len(message.Values) > 0 {
				a.value = append([]byte(nil), message.Values[0]...)
			}
		case *pgproto3.ErrorResponse:
			if isFatal(message) {
				return answer{}, f.lost(message)
			}
			failure := *message
			a.failure = &failure
		case *pgproto3.RowDescription, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus,
			*pgproto3.NotificationResponse:
		default:
			f.conn.MarkBroken()
			return answer{}, &upstream.ProtocolError{Target: f.conn.Target(), Reason: "unexpected message"}
		}
	}
}

// run queues a statement, sends it and takes its answer.
func (f *flight) run(query string, tags ...string) (answer, error) {
	f.queue(query)
	if err := f.conn.Flush(); err != nil {
		return answer{}, err
	}
	return f.await(tags...)
}

// transaction asks for the id of the open transaction; zero when it has
// written nothing.
func (f *flight) transaction() (uint64, error) {
	a, err := f.run(queryTransaction, tagSelect)
	if err != nil {
		return 0, err
	}
	return f.transactionID(a)
}

// transactionID reads the answer to queryTransaction.
func (f *flight) transactionID(a answer) (uint64, error) {
	if a.failure != nil {
		return 0, eris.Errorf("target %s refused to name the transaction: %s", f.conn.Target(), a.failure.Code)
	}
	if len(a.value) == 0 {
		return 0, nil
	}
	id, err := strconv.ParseUint(string(a.value), 10, 64)
	if err != nil {
		f.conn.MarkBroken()
		return 0, eris.Wrapf(err, "transaction id from target %s", f.conn.Target())
	}
	return id, nil
}

// isFatal reports whether the target ends the session with the error.
func isFatal(e *pgproto3.ErrorResponse) bool {
	return e.Severity == "FATAL" || e.Severity == "PANIC" ||
		e.SeverityUnlocalized == "FATAL" || e.SeverityUnlocalized == "PANIC"
}

// lost marks the connection as ended by the target.
func (f *flight) lost(e *pgproto3.ErrorResponse) error {
	f.conn.MarkBroken()
	return eris.Wrapf(errTargetLost, "target %s: %s", f.conn.Target(), e.Code)
}
