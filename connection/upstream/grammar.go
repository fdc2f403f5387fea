package upstream

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// requestKind is the kind of a message to a target that gets a response.
type requestKind uint8

const (
	requestQuery requestKind = iota + 1
	requestParse
	requestBind
	requestDescribeStatement
	requestDescribePortal
	requestExecute
	requestClose
	requestSync
)

// responsePhase is how far the response to one request has come.
type responsePhase uint8

const (
	// phaseStart is before the response, and between the statements of a Query.
	phaseStart responsePhase = iota
	// phaseParameters follows the ParameterDescription of a statement.
	phaseParameters
	// phaseRows follows a RowDescription, or the first DataRow of a portal.
	phaseRows
	// phaseCopyIn follows a CopyInResponse.
	phaseCopyIn
	// phaseCopyOut follows a CopyOutResponse.
	phaseCopyOut
	// phaseCopyEnd follows the CopyDone of the target.
	phaseCopyEnd
	// phaseFailed follows an ErrorResponse: only ReadyForQuery remains.
	phaseFailed
)

// grammar holds a target's messages against the order in which the protocol allows
// them after the requests that were sent (PostgreSQL documentation, chapter 55.2). A
// target that departs from it has mixed up its responses, so the connection must be
// closed. Notices, parameter statuses and notifications may come at any time and are
// not part of it. The zero value expects nothing.
type grammar struct {
	// due are the requests whose responses are outstanding, in order.
	due []requestKind
	// short holds due while it is short, which saves an allocation for each response.
	short [8]requestKind
	phase responsePhase
	// columns is the number of values in each row of phaseRows.
	columns int
	// rows counts the rows of phaseRows.
	rows int
	// completed is set once a statement of the Query that is due has ended.
	completed bool
}

// requestKindOf returns the kind of a message, and false for one without a response.
func requestKindOf(message pgproto3.FrontendMessage) (requestKind, bool) {
	switch message := message.(type) {
	case *pgproto3.Query:
		return requestQuery, true
	case *pgproto3.Parse:
		return requestParse, true
	case *pgproto3.Bind:
		return requestBind, true
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			return requestDescribeStatement, true
		}
		return requestDescribePortal, true
	case *pgproto3.Execute:
		return requestExecute, true
	case *pgproto3.Close:
		return requestClose, true
	case *pgproto3.Sync:
		return requestSync, true
	default:
		return 0, false
	}
}

// sent records a message to the target.
func (g *grammar) sent(message pgproto3.FrontendMessage) {
	kind, ok := requestKindOf(message)
	if !ok {
		return
	}
	if g.idle() {
		g.due = g.short[:0]
	}
	g.due = append(g.due, kind)
}

// idle reports whether every response is complete.
func (g *grammar) idle() bool { return len(g.due) == 0 }

// accept advances past a message. It returns false if the message may not come here.
// previous is the transaction status before the response.
func (g *grammar) accept(message pgproto3.BackendMessage, previous TransactionStatus) bool {
	if g.idle() {
		return false
	}
	switch message := message.(type) {
	case *pgproto3.ErrorResponse:
		return g.acceptError(message)
	case *pgproto3.ReadyForQuery:
		return g.acceptReady(TransactionStatus(message.TxStatus), previous)
	}
	switch g.phase {
	case phaseStart:
		return g.acceptFirst(message)
	case phaseParameters:
		return g.acceptDescription(message)
	case phaseRows:
		return g.acceptRow(message)
	case phaseCopyOut:
		_, isData := message.(*pgproto3.CopyData)
		_, isDone := message.(*pgproto3.CopyDone)
		if isDone {
			g.phase = phaseCopyEnd
		}
		return isData || isDone
	case phaseCopyIn, phaseCopyEnd:
		_, complete := message.(*pgproto3.CommandComplete)
		return complete && g.complete()
	default:
		return false
	}
}

// sqlStateLength is the length of every SQLSTATE.
const sqlStateLength = 5

// acceptError accepts an error, after which a target ignores the messages up to the
// next Sync. A second one may only be fatal.
func (g *grammar) acceptError(message *pgproto3.ErrorResponse) bool {
	if len(message.Code) != sqlStateLength || (g.phase == phaseFailed && !IsFatal(message)) {
		return false
	}
	for g.due[0] != requestQuery && g.due[0] != requestSync {
		g.due = g.due[1:]
		if g.idle() {
			return false
		}
	}
	g.phase = phaseFailed
	return true
}

// acceptReady accepts the end of a Query or of a pipeline, with a transaction status
// that can follow.
func (g *grammar) acceptReady(status, previous TransactionStatus) bool {
	failed := g.phase == phaseFailed
	complete := failed || (g.phase == phaseStart && (g.due[0] == requestSync || (g.due[0] == requestQuery && g.completed)))
	if !complete || !canFollow(status, previous, failed) {
		return false
	}
	g.due = g.due[1:]
	g.phase = phaseStart
	g.completed = false
	return true
}

// canFollow reports whether a transaction status can follow the previous one. An error
// fails the transaction that is open, and nothing else does.
func canFollow(status, previous TransactionStatus, failed bool) bool {
	switch status {
	case Idle:
		return true
	case InTransaction:
		return !failed
	case FailedTransaction:
		return failed || previous == FailedTransaction
	default:
		return false
	}
}

// acceptFirst accepts the first message of the response to a request, or to a statement
// of a Query.
func (g *grammar) acceptFirst(message pgproto3.BackendMessage) bool {
	isQuery := g.due[0] == requestQuery
	switch message := message.(type) {
	case *pgproto3.ParseComplete:
		return g.end(requestParse)
	case *pgproto3.BindComplete:
		return g.end(requestBind)
	case *pgproto3.CloseComplete:
		return g.end(requestClose)
	case *pgproto3.ParameterDescription:
		g.phase = phaseParameters
		return g.due[0] == requestDescribeStatement
	case *pgproto3.NoData:
		return g.end(requestDescribePortal)
	case *pgproto3.RowDescription:
		if !isQuery {
			return g.end(requestDescribePortal)
		}
		g.phase, g.columns, g.rows = phaseRows, len(message.Fields), 0
		return true
	case *pgproto3.DataRow:
		g.phase, g.columns, g.rows = phaseRows, len(message.Values), 1
		return g.due[0] == requestExecute
	case *pgproto3.PortalSuspended:
		return g.end(requestExecute)
	case *pgproto3.CopyInResponse:
		g.phase = phaseCopyIn
		return isQuery
	case *pgproto3.CopyOutResponse:
		g.phase = phaseCopyOut
		return isQuery || g.due[0] == requestExecute
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return g.complete()
	default:
		return false
	}
}

// acceptDescription accepts the columns of a statement, after its parameters.
func (g *grammar) acceptDescription(message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return g.end(requestDescribeStatement)
	default:
		return false
	}
}

// acceptRow accepts a row with the columns of those before, or the end of the rows.
func (g *grammar) acceptRow(message pgproto3.BackendMessage) bool {
	switch message := message.(type) {
	case *pgproto3.DataRow:
		g.rows++
		return len(message.Values) == g.columns
	case *pgproto3.CommandComplete:
		return g.countsRows(string(message.CommandTag)) && g.complete()
	case *pgproto3.PortalSuspended:
		return g.end(requestExecute)
	default:
		return false
	}
}

// countsRows reports whether a command tag states the number of rows. Only that of SELECT
// always counts what was sent.
func (g *grammar) countsRows(tag string) bool {
	count, isSelect := strings.CutPrefix(tag, "SELECT")
	return !isSelect || count == " "+strconv.Itoa(g.rows)
}

// complete ends a statement of a Query, or the response to an Execute.
func (g *grammar) complete() bool {
	if g.due[0] != requestQuery {
		return g.end(requestExecute)
	}
	g.phase = phaseStart
	g.completed = true
	return true
}

// end ends the response to a request, which must be of the kind.
func (g *grammar) end(kind requestKind) bool {
	if g.due[0] != kind {
		return false
	}
	g.due = g.due[1:]
	g.phase = phaseStart
	return true
}

// IsFatal reports whether the target closes the connection after the error.
func IsFatal(response *pgproto3.ErrorResponse) bool {
	return response.Severity == "FATAL" || response.Severity == "PANIC" ||
		response.SeverityUnlocalized == "FATAL" || response.SeverityUnlocalized == "PANIC"
}
