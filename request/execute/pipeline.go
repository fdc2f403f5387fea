package execute

import (
	"errors"
	"slices"
	"strconv"

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
	statusFailed        = upstream.FailedTransaction
)

// Statements that the instance adds to those of callers.
const (
	queryBegin            = "BEGIN"
	queryBeginReadOnly    = "BEGIN READ ONLY"
	queryCommit           = "COMMIT"
	queryRollback         = "ROLLBACK"
	queryTransactionID    = "SELECT pg_current_xact_id_if_assigned()"
	queryResetAll         = "RESET ALL"
	queryDiscardTemporary = "DISCARD TEMP"
)

// Command tags of the added statements, and of the other statements that begin
// a transaction. An added SELECT returns one row.
const (
	tagBegin    = "BEGIN"
	tagStart    = "START TRANSACTION"
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
	tagSelect   = "SELECT 1"
	tagSet      = "SET"
	tagReset    = "RESET"
	tagDiscard  = "DISCARD TEMP"
)

// errTargetEndedSession reports that a target ended the session.
var errTargetEndedSession = errors.New("target ended the session")

// pipeline sends the statements of one request over a target connection and
// receives their results in the same order. Around the caller's batch it
// carries statements that the instance adds, such as BEGIN and COMMIT. All that
// is queued is sent together, which saves round trips.
type pipeline struct {
	conn *upstream.Conn
	// response is the response to the caller's batch.
	response *responseWriter
	// holdCommandComplete is set when the last CommandComplete of the batch
	// must not be sent before the outcome of the commit is known.
	holdCommandComplete bool
}

// queryResult is the result of a statement that the instance added.
type queryResult struct {
	commandTag string
	// statements and rows count the CommandComplete and DataRow messages.
	statements, rows int
	// value is the only column of the last row; nil for null.
	value []byte
	// failure is the target's error, if any.
	failure *pgproto3.ErrorResponse
}

// queueQuery queues an added statement. awaitResult receives its result.
func (p *pipeline) queueQuery(query string) { p.conn.Send(&pgproto3.Query{String: query}) }

// awaitResult receives the result of the next added statement. Its command tag
// must be one of the tags, and its rows and its transaction status must be those of
// that statement; otherwise the result is that of another one, which is an
// *upstream.ProtocolError. When the target refused the statement, only the
// result's failure is set.
func (p *pipeline) awaitResult(tags ...string) (queryResult, error) {
	before := p.conn.Status()
	result, err := p.receiveResult()
	if err != nil || result.failure != nil {
		return result, err
	}
	if !slices.Contains(tags, result.commandTag) || !result.isComplete() || p.conn.Status() != statusAfter(result.commandTag, before) {
		return result, p.protocolError("response does not match the request")
	}
	return result, nil
}

// isComplete reports whether the result is that of one statement, with one row for a
// SELECT and none for others.
func (r *queryResult) isComplete() bool {
	wantRows := 0
	if r.commandTag == tagSelect {
		wantRows = 1
	}
	return r.statements == 1 && r.rows == wantRows
}

// statusAfter returns the transaction status after an added statement that succeeded.
func statusAfter(tag string, before status) status {
	switch tag {
	case tagBegin, tagStart:
		return statusInTransaction
	case tagCommit, tagRollback:
		return statusIdle
	default:
		return before
	}
}

// protocolError marks the connection as broken and returns the error for a target that
// violated the protocol.
func (p *pipeline) protocolError(reason string) error {
	p.conn.MarkBroken()
	return &upstream.ProtocolError{Target: p.conn.Target(), Reason: reason}
}

// receiveResult receives messages up to the next ReadyForQuery.
func (p *pipeline) receiveResult() (queryResult, error) {
	var result queryResult
	for {
		message, err := p.conn.Receive()
		if err != nil {
			return queryResult{}, err
		}
		switch message := message.(type) {
		case *pgproto3.ReadyForQuery:
			return result, nil
		case *pgproto3.CommandComplete:
			result.commandTag = string(message.CommandTag)
			result.statements++
		case *pgproto3.DataRow:
			if len(message.Values) != 1 {
				return queryResult{}, p.protocolError("row of another statement")
			}
			result.value = slices.Clone(message.Values[0])
			result.rows++
		case *pgproto3.ErrorResponse:
			if upstream.IsFatal(message) {
				return queryResult{}, p.sessionLost(message)
			}
			failure := *message
			result.failure = &failure
		case *pgproto3.RowDescription, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus,
			*pgproto3.NotificationResponse:
		default:
			return queryResult{}, p.protocolError("unexpected message")
		}
	}
}

// roundTrip sends a statement, with all that is queued, and receives its
// result.
func (p *pipeline) roundTrip(query string, tags ...string) (queryResult, error) {
	p.queueQuery(query)
	if err := p.conn.Flush(); err != nil {
		return queryResult{}, err
	}
	return p.awaitResult(tags...)
}

// fetchTransactionID requests the ID of the open transaction. It is zero when
// the transaction has written nothing.
func (p *pipeline) fetchTransactionID() (uint64, error) {
	result, err := p.roundTrip(queryTransactionID, tagSelect)
	if err != nil {
		return 0, err
	}
	return p.parseTransactionID(result)
}

// parseTransactionID reads the result of queryTransactionID.
func (p *pipeline) parseTransactionID(result queryResult) (uint64, error) {
	if result.failure != nil {
		return 0, eris.Errorf("target %s refused to report the transaction ID: SQLSTATE %s", p.conn.Target(), result.failure.Code)
	}
	if result.value == nil {
		return 0, nil
	}
	id, err := strconv.ParseUint(string(result.value), 10, 64)
	if err != nil || id <= p.conn.LastTransactionID {
		return 0, p.protocolError("invalid transaction ID, or that of an earlier transaction")
	}
	p.conn.LastTransactionID = id
	return id, nil
}

// sessionLost marks the connection as broken and returns the error for a target
// that closes it.
func (p *pipeline) sessionLost(response *pgproto3.ErrorResponse) error {
	p.conn.MarkBroken()
	return eris.Wrapf(errTargetEndedSession, "target %s: SQLSTATE %s", p.conn.Target(), response.Code)
}
