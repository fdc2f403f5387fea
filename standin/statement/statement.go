// Package statement recognizes the SQL statements that an emulated database server
// runs: those on its table kv with the columns key and value, transaction control,
// and a few functions and settings that clients and the proxy use. It matches whole
// statements by regular expression and is no SQL parser.
package statement

import (
	"regexp"
	"strconv"
	"strings"
)

// Kind is the kind of a statement, which selects how it runs.
type Kind uint8

// Kinds of statements.
const (
	// Unknown is a statement that no form matches.
	Unknown Kind = iota
	// Empty has nothing but white space and comments.
	Empty
	Begin
	Commit
	Rollback
	// SelectValue reads the value of one row.
	SelectValue
	// SelectValueAndRecovery also reads in_hot_standby, which shows whether the
	// server is a replica.
	SelectValueAndRecovery
	// SelectRows reads key and value of all rows.
	SelectRows
	// SelectCount counts the rows.
	SelectCount
	Insert
	// Update sets the value of one row.
	Update
	// Increment adds to the value of one row.
	Increment
	Delete
	CopyIn
	CopyOut
	// SelectLiteral returns an integer or a text literal.
	SelectLiteral
	// SelectSleep calls pg_sleep.
	SelectSleep
	// SelectTransactionID calls pg_current_xact_id_if_assigned.
	SelectTransactionID
	// SelectTarget calls samphirehitch_target, which returns the server's target ID.
	SelectTarget
	// SelectRecovery calls pg_is_in_recovery.
	SelectRecovery
	Show
	// SetOrReset is SET or RESET of any setting.
	SetOrReset
	// DiscardOrDeallocate is DISCARD ALL, or DEALLOCATE of what Name states.
	DiscardOrDeallocate
)

// Type is the data type of a column.
type Type uint8

// Data types.
const (
	Text Type = iota
	Integer
	BigInteger
	// XID8 is the type of transaction IDs.
	XID8
	Boolean
	Void
)

// Operand is a value in a statement: a literal or, when Parameter is not zero, the
// parameter with that number.
type Operand struct {
	Literal   string
	Parameter int
}

// Column describes a result column.
type Column struct {
	Name string
	Type Type
}

// Statement is a recognized statement.
type Statement struct {
	Kind Kind
	// ReadOnly is set by BEGIN READ ONLY.
	ReadOnly bool
	// Key selects the row, for the kinds that read or write a single row.
	Key Operand
	// Value is the value to store or to return, the number to add or the seconds to
	// sleep, by kind.
	Value Operand
	// Name is the setting that SHOW returns, or the prepared statement that
	// DEALLOCATE removes.
	Name string
	// Columns is nil when the statement returns no rows.
	Columns []Column
	// Tag is the command tag without its row count.
	Tag string
	// Parameters is the highest number of a parameter in the statement.
	Parameters int
}

// Parts of the forms' patterns. An operand has one submatch; a cast after it is
// ignored.
const (
	operandPattern = `(\$\d+|'(?:[^']|'')*'|-?\d+(?:\.\d+)?)(?:::\w+)?`
	keyPattern     = `\s+where\s+key\s*=\s*` + operandPattern
)

var valueColumns = []Column{{Name: "value", Type: Text}}

// statementForm is one form of statement. A statement that matches the pattern is
// the template with the operands that setOperands reads from the submatches; nil
// means that there are none.
type statementForm struct {
	pattern     *regexp.Regexp
	template    Statement
	setOperands func(s *Statement, submatches []string)
}

// newStatementForm compiles a pattern that matches whole statements in any case.
func newStatementForm(pattern string, template Statement, setOperands func(*Statement, []string)) statementForm {
	return statementForm{pattern: regexp.MustCompile(`(?is)^` + pattern + `$`), template: template, setOperands: setOperands}
}

func setKey(s *Statement, submatches []string) { s.Key = parseOperand(submatches[0]) }

func setKeyAndValue(s *Statement, submatches []string) {
	s.Key = parseOperand(submatches[0])
	s.Value = parseOperand(submatches[1])
}

// setValueKeyAndReturning sets the operands of an UPDATE, and the column value when
// it has a RETURNING clause.
func setValueKeyAndReturning(s *Statement, submatches []string) {
	s.Value = parseOperand(submatches[0])
	s.Key = parseOperand(submatches[1])
	if submatches[2] != "" {
		s.Columns = valueColumns
	}
}

func setValue(s *Statement, submatches []string) { s.Value = parseOperand(submatches[0]) }

func setSettingName(s *Statement, submatches []string) {
	s.Name = strings.ToLower(submatches[0])
	s.Columns = []Column{{Name: s.Name, Type: Text}}
}

func setReadOnly(s *Statement, submatches []string) {
	s.ReadOnly = strings.Contains(strings.ToLower(submatches[0]), "read only")
}

// selectOneColumn returns the template of a SELECT with a single column.
func selectOneColumn(kind Kind, name string, columnType Type) Statement {
	return Statement{Kind: kind, Tag: "SELECT", Columns: []Column{{Name: name, Type: columnType}}}
}

// statementForms are tried in order.
var statementForms = []statementForm{
	newStatementForm(``, Statement{Kind: Empty}, nil),
	newStatementForm(`select\s+value\s+from\s+kv`+keyPattern, selectOneColumn(SelectValue, "value", Text), setKey),
	newStatementForm(`select\s+value\s*,\s*current_setting\(\s*'in_hot_standby'\s*\)\s+from\s+kv`+keyPattern,
		Statement{Kind: SelectValueAndRecovery, Tag: "SELECT", Columns: []Column{{Name: "value"}, {Name: "current_setting"}}}, setKey),
	newStatementForm(`update\s+kv\s+set\s+value\s*=\s*value\s*\+\s*`+operandPattern+keyPattern+`(\s+returning\s+value)?`,
		Statement{Kind: Increment, Tag: "UPDATE"}, setValueKeyAndReturning),
	newStatementForm(`update\s+kv\s+set\s+value\s*=\s*`+operandPattern+keyPattern+`(\s+returning\s+value)?`,
		Statement{Kind: Update, Tag: "UPDATE"}, setValueKeyAndReturning),
	newStatementForm(`insert\s+into\s+kv\s*(?:\(\s*key\s*,\s*value\s*\)\s*)?values\s*\(\s*`+operandPattern+`\s*,\s*`+operandPattern+`\s*\)`,
		Statement{Kind: Insert, Tag: "INSERT 0"}, setKeyAndValue),
	newStatementForm(`delete\s+from\s+kv`+keyPattern, Statement{Kind: Delete, Tag: "DELETE"}, setKey),
	newStatementForm(`begin((?:\s+\w+|\s*,)*)`, Statement{Kind: Begin, Tag: "BEGIN"}, setReadOnly),
	newStatementForm(`start\s+transaction((?:\s+\w+|\s*,)*)`, Statement{Kind: Begin, Tag: "START TRANSACTION"}, setReadOnly),
	newStatementForm(`(?:commit|end)(?:\s+work|\s+transaction)?`, Statement{Kind: Commit, Tag: "COMMIT"}, nil),
	newStatementForm(`(?:rollback|abort)(?:\s+work|\s+transaction)?`, Statement{Kind: Rollback, Tag: "ROLLBACK"}, nil),
	newStatementForm(`select\s+pg_current_xact_id_if_assigned\(\)`,
		selectOneColumn(SelectTransactionID, "pg_current_xact_id_if_assigned", XID8), nil),
	newStatementForm(`select\s+pg_current_xact_id_if_assigned\(\)::text`,
		selectOneColumn(SelectTransactionID, "pg_current_xact_id_if_assigned", Text), nil),
	newStatementForm(`select\s+samphirehitch_target\(\)`, selectOneColumn(SelectTarget, "samphirehitch_target", Text), nil),
	newStatementForm(`select\s+pg_is_in_recovery\(\)`, selectOneColumn(SelectRecovery, "pg_is_in_recovery", Boolean), nil),
	newStatementForm(`select\s+pg_sleep\(\s*`+operandPattern+`\s*\)`, selectOneColumn(SelectSleep, "pg_sleep", Void), setValue),
	newStatementForm(`select\s+count\(\*\)\s+from\s+kv`, selectOneColumn(SelectCount, "count", BigInteger), nil),
	newStatementForm(`select\s+key\s*,\s*value\s+from\s+kv(?:\s+order\s+by\s+key)?`,
		Statement{Kind: SelectRows, Tag: "SELECT", Columns: []Column{{Name: "key", Type: Text}, {Name: "value", Type: Text}}}, nil),
	newStatementForm(`select\s+(-?\d{1,9})`, selectOneColumn(SelectLiteral, "?column?", Integer), setValue),
	newStatementForm(`select\s+('(?:[^']|'')*')`, selectOneColumn(SelectLiteral, "?column?", Text), setValue),
	newStatementForm(`copy\s+kv(?:\s*\(\s*key\s*,\s*value\s*\))?\s+from\s+stdin(?:\s+(?:with\s*)?\(\s*format\s+text\s*\))?`, Statement{Kind: CopyIn, Tag: "COPY"}, nil),
	newStatementForm(`copy\s+kv(?:\s*\(\s*key\s*,\s*value\s*\))?\s+to\s+stdout(?:\s+(?:with\s*)?\(\s*format\s+text\s*\))?`, Statement{Kind: CopyOut, Tag: "COPY"}, nil),
	newStatementForm(`show\s+([\w.]+)`, Statement{Kind: Show, Tag: "SHOW"}, setSettingName),
	newStatementForm(`set\s+.+`, Statement{Kind: SetOrReset, Tag: "SET"}, nil),
	newStatementForm(`reset\s+.+`, Statement{Kind: SetOrReset, Tag: "RESET"}, nil),
	newStatementForm(`discard\s+all`, Statement{Kind: DiscardOrDeallocate, Tag: "DISCARD ALL"}, nil),
	newStatementForm(`deallocate\s+(?:prepare\s+)?(\S+)`, Statement{Kind: DiscardOrDeallocate, Tag: "DEALLOCATE"},
		func(s *Statement, submatches []string) { s.Name = submatches[0] }),
}

// Recognize returns the statement of the first form that matches, or a statement of
// kind Unknown. The text is a single statement; see SplitStatements.
func Recognize(text string) Statement {
	text = strings.TrimSuffix(strings.TrimSpace(stripComments(text)), ";")
	text = strings.TrimSpace(text)
	for _, form := range statementForms {
		matches := form.pattern.FindStringSubmatch(text)
		if matches == nil {
			continue
		}
		s := form.template
		if form.setOperands != nil {
			form.setOperands(&s, matches[1:])
		}
		s.Parameters = max(s.Key.Parameter, s.Value.Parameter)
		return s
	}
	return Statement{Kind: Unknown}
}

// parseOperand reads a submatch of operandPattern.
func parseOperand(text string) Operand {
	if number, isParameter := strings.CutPrefix(text, "$"); isParameter {
		n, _ := strconv.Atoi(number)
		return Operand{Parameter: n}
	}
	if quoted, isQuoted := strings.CutPrefix(text, "'"); isQuoted {
		return Operand{Literal: strings.ReplaceAll(strings.TrimSuffix(quoted, "'"), "''", "'")}
	}
	return Operand{Literal: text}
}
