package session

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/statement"
)

var errSyntax = &database.Error{Code: "42601", Message: "syntax error"}

// result is the outcome of a statement.
type result struct {
	columns []statement.Column
	// rows holds the values in text format.
	rows [][]string
	tag  string
	// copyLines is the data of a COPY TO STDOUT, and nil for other statements.
	copyLines []string
	// isNull replaces every value in rows by null.
	isNull bool
}

// countRows makes the tag of a SELECT state the number of the rows that are left.
func (r *result) countRows() {
	if strings.HasPrefix(r.tag, "SELECT ") {
		r.tag = "SELECT " + strconv.Itoa(len(r.rows))
	}
}

// runStatement runs a statement in the open transaction. Without one it opens an
// implicit transaction, which the caller commits.
func (s *Session) runStatement(st statement.Statement, arguments []string) (result, error) {
	switch st.Kind {
	case statement.Begin:
		return s.beginTransactionBlock(st), nil
	case statement.Commit:
		return s.commitTransactionBlock()
	case statement.Rollback:
		s.rollback()
		return result{tag: st.Tag}, nil
	case statement.Unknown:
		return result{}, errSyntax
	}
	if s.transactionFailed {
		return result{}, &database.Error{Code: "25P02", Message: "current transaction is aborted"}
	}
	if s.transaction == nil {
		s.transaction = s.cfg.Database.Begin(false)
	}
	ctx, release := s.statementContext()
	defer release()
	return s.runInTransaction(ctx, st, arguments)
}

// runInTransaction runs a statement, with a slot of the server if it needs one.
func (s *Session) runInTransaction(ctx context.Context, st statement.Statement, arguments []string) (result, error) {
	if !needsStatementSlot(st.Kind) {
		return s.runWithoutSlot(st), nil
	}
	release, err := s.cfg.Server.AcquireStatementSlot(ctx)
	if err != nil {
		return result{}, err
	}
	defer release()
	switch st.Kind {
	case statement.CopyIn:
		return s.runCopyIn(ctx)
	case statement.SelectSleep:
		if err := sleepSeconds(ctx, operandValue(st.Value, arguments)); err != nil {
			return result{}, err
		}
		return result{tag: "SELECT 1", columns: st.Columns, rows: [][]string{{""}}}, nil
	case statement.Insert, statement.Update, statement.Increment, statement.Delete:
		return s.runWrite(ctx, st, arguments)
	default:
		return s.runRead(st, arguments), nil
	}
}

// needsStatementSlot reports whether a statement counts as load on the server, with
// a slot and the emulated service time. Statements that return or change settings
// and session state do not.
func needsStatementSlot(kind statement.Kind) bool {
	switch kind {
	case statement.Show, statement.SetOrReset, statement.DiscardOrDeallocate, statement.SelectTransactionID, statement.SelectRecovery, statement.Empty:
		return false
	default:
		return true
	}
}

// operandValue returns the operand's literal or the argument that it refers to.
func operandValue(operand statement.Operand, arguments []string) string {
	if operand.Parameter == 0 {
		return operand.Literal
	}
	return arguments[operand.Parameter-1]
}

// runWithoutSlot runs the statements for which needsStatementSlot returns false.
// SET and RESET have no effect.
func (s *Session) runWithoutSlot(st statement.Statement) result {
	output := result{tag: st.Tag, columns: st.Columns}
	switch st.Kind {
	case statement.Show:
		output.rows = [][]string{{s.settingValue(st.Name)}}
	case statement.SelectRecovery:
		output.rows = [][]string{{formatBoolean(!s.cfg.Database.Primary())}}
		output.tag = "SELECT 1"
	case statement.SelectTransactionID:
		id := s.transaction.ID()
		output.rows = [][]string{{strconv.FormatUint(id, 10)}}
		output.isNull = id == 0
		output.tag = "SELECT 1"
	case statement.DiscardOrDeallocate:
		s.discardPrepared(st.Name)
	}
	return output
}

// formatBoolean returns the text format of a boolean.
func formatBoolean(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

// settingValue returns the value that SHOW returns, empty for an unknown setting.
func (s *Session) settingValue(name string) string {
	if name == "transaction_read_only" {
		return map[bool]string{true: "off", false: "on"}[s.cfg.Database.Primary()]
	}
	for _, parameter := range s.serverParameters() {
		if strings.EqualFold(parameter.Name, name) {
			return parameter.Value
		}
	}
	return ""
}

// discardPrepared deallocates one prepared statement, or all when name is empty or
// ALL.
func (s *Session) discardPrepared(name string) {
	if name == "" || strings.EqualFold(name, "all") {
		clear(s.prepared)
		return
	}
	delete(s.prepared, strings.Trim(name, `"`))
}

// runRead runs a statement that reads rows or returns a constant.
func (s *Session) runRead(st statement.Statement, arguments []string) result {
	output := result{tag: st.Tag, columns: st.Columns}
	switch st.Kind {
	case statement.SelectValue:
		if rowValue, exists := s.transaction.Get(operandValue(st.Key, arguments)); exists {
			output.rows = [][]string{{rowValue}}
		}
	case statement.SelectValueAndRecovery:
		if rowValue, exists := s.transaction.Get(operandValue(st.Key, arguments)); exists {
			output.rows = [][]string{{rowValue, s.settingValue("in_hot_standby")}}
		}
	case statement.SelectRows:
		output.rows = sortedRows(s.transaction.Rows())
	case statement.SelectCount:
		output.rows = [][]string{{strconv.Itoa(len(s.transaction.Rows()))}}
	case statement.SelectLiteral:
		output.rows = [][]string{{operandValue(st.Value, arguments)}}
	case statement.SelectTarget:
		output.rows = [][]string{{s.cfg.Target}}
	case statement.CopyOut:
		output.copyLines = []string{}
		for _, row := range sortedRows(s.transaction.Rows()) {
			output.copyLines = append(output.copyLines, copyEscape.Replace(row[0])+"\t"+copyEscape.Replace(row[1])+"\n")
		}
		output.tag += " " + strconv.Itoa(len(output.copyLines))
		return output
	}
	output.tag += " " + strconv.Itoa(len(output.rows))
	return output
}

// sortedRows returns key and value of each row, ordered by key.
func sortedRows(rows map[string]string) [][]string {
	sorted := make([][]string, 0, len(rows))
	for key, value := range rows {
		sorted = append(sorted, []string{key, value})
	}
	slices.SortFunc(sorted, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return sorted
}

// runWrite runs a statement that changes a single row, waiting for the row's lock.
func (s *Session) runWrite(ctx context.Context, st statement.Statement, arguments []string) (result, error) {
	update := rowUpdate(st.Kind, operandValue(st.Value, arguments))
	change, changed, err := s.transaction.Write(ctx, operandValue(st.Key, arguments), update)
	if err != nil {
		return result{}, err
	}
	output := result{tag: st.Tag + " 0", columns: st.Columns}
	if changed {
		output.tag = st.Tag + " 1"
		if st.Columns != nil {
			output.rows = [][]string{{change.Value}}
		}
	}
	return output, nil
}

// rowUpdate returns the change that a statement of the kind makes to its row. The
// operand is the new value or, for Increment, the number to add.
func rowUpdate(kind statement.Kind, operand string) database.UpdateFunc {
	return func(current string, exists bool) (database.Change, bool, error) {
		switch kind {
		case statement.Insert:
			if exists {
				return database.Change{}, false, &database.Error{
					Code: database.CodeUniqueViolation, Message: "duplicate key value violates unique constraint",
				}
			}
			return database.Change{Value: operand}, true, nil
		case statement.Increment:
			if !exists {
				return database.Change{}, false, nil
			}
			sum, err := addIntegers(current, operand)
			return database.Change{Value: sum}, true, err
		case statement.Delete:
			return database.Change{Deleted: true}, exists, nil
		default:
			return database.Change{Value: operand}, exists, nil
		}
	}
}

// addIntegers adds two integers in text format.
func addIntegers(a, b string) (string, error) {
	x, err := strconv.ParseInt(a, 10, 64)
	if err != nil {
		return "", errInvalidBigint
	}
	y, err := strconv.ParseInt(b, 10, 64)
	if err != nil {
		return "", errInvalidBigint
	}
	return strconv.FormatInt(x+y, 10), nil
}

var errInvalidBigint = &database.Error{Code: "22P02", Message: "invalid input syntax for type bigint"}
