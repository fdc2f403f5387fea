// Package statement recognizes the few SQL statements that the group stand-in
// runs. It matches whole statements by pattern and doesn't parse SQL.
package statement

import (
	"regexp"
	"strconv"
	"strings"
)

// Kind tells statements apart.
type Kind uint8

// Kinds of statements.
const (
	Unknown Kind = iota
	Empty
	Begin
	Commit
	Rollback
	Get
	GetWithRole
	All
	Count
	Insert
	Update
	Increment
	Delete
	CopyIn
	CopyOut
	Literal
	Sleep
	TransactionID
	Target
	Recovery
	Show
	Set
	Discard
)

// Type is a column's or a parameter's data type.
type Type uint8

// Data types.
const (
	Text Type = iota
	Integer
	BigInteger
	TransactionNumber
	Boolean
	Void
)

// Operand is a literal or, when Parameter is not zero, the parameter of that
// number.
type Operand struct {
	Literal   string
	Parameter int
}

// Column describes a column of a result.
type Column struct {
	Name string
	Type Type
}

// Statement is a recognized statement.
type Statement struct {
	Kind     Kind
	ReadOnly bool
	Key      Operand
	Value    Operand
	// Name is the setting that Show names.
	Name string
	// Columns is nil when the statement returns no rows.
	Columns []Column
	// Tag is the command tag, without a row count.
	Tag string
	// Parameters is the highest parameter number used.
	Parameters int
}

const (
	operandPattern = `(\$\d+|'(?:[^']|'')*'|-?\d+(?:\.\d+)?)(?:::\w+)?`
	keyPattern     = `\s+where\s+key\s*=\s*` + operandPattern
)

var valueColumns = []Column{{Name: "value", Type: Text}}

// form is one statement that the package knows. Fill takes the submatches.
type form struct {
	pattern *regexp.Regexp
	base    Statement
	fill    func(s *Statement, groups []string)
}

func newForm(pattern string, base Statement, fill func(*Statement, []string)) form {
	return form{pattern: regexp.MustCompile(`(?is)^` + pattern + `$`), base: base, fill: fill}
}

func fillKey(s *Statement, groups []string) { s.Key = operand(groups[0]) }

func fillKeyValue(s *Statement, groups []string) {
	s.Key = operand(groups[0])
	s.Value = operand(groups[1])
}

// fillValueKey also takes the columns of a RETURNING clause.
func fillValueKey(s *Statement, groups []string) {
	s.Value = operand(groups[0])
	s.Key = operand(groups[1])
	if groups[2] != "" {
		s.Columns = valueColumns
	}
}

func fillValue(s *Statement, groups []string) { s.Value = operand(groups[0]) }

func fillName(s *Statement, groups []string) {
	s.Name = strings.ToLower(groups[0])
	s.Columns = []Column{{Name: s.Name, Type: Text}}
}

func fillBegin(s *Statement, groups []string) {
	s.ReadOnly = strings.Contains(strings.ToLower(groups[0]), "read only")
}

func selecting(kind Kind, name string, columnType Type) Statement {
	return Statement{Kind: kind, Tag: "SELECT", Columns: []Column{{Name: name, Type: columnType}}}
}

var forms = []form{
	newForm(``, Statement{Kind: Empty}, nil),
	newForm(`select\s+value\s+from\s+kv`+keyPattern, selecting(Get, "value", Text), fillKey),
	newForm(`select\s+value\s*,\s*current_setting\(\s*'in_hot_standby'\s*\)\s+from\s+kv`+keyPattern,
		Statement{Kind: GetWithRole, Tag: "SELECT", Columns: []Column{{Name: "value"}, {Name: "current_setting"}}}, fillKey),
	newForm(`update\s+kv\s+set\s+value\s*=\s*value\s*\+\s*`+operandPattern+keyPattern+`(\s+returning\s+value)?`,
		Statement{Kind: Increment, Tag: "UPDATE"}, fillValueKey),
	newForm(`update\s+kv\s+set\s+value\s*=\s*`+operandPattern+keyPattern+`(\s+returning\s+value)?`,
		Statement{Kind: Update, Tag: "UPDATE"}, fillValueKey),
	newForm(`insert\s+into\s+kv\s*(?:\(\s*key\s*,\s*value\s*\)\s*)?values\s*\(\s*`+operandPattern+`\s*,\s*`+operandPattern+`\s*\)`,
		Statement{Kind: Insert, Tag: "INSERT 0"}, fillKeyValue),
	newForm(`delete\s+from\s+kv`+keyPattern, Statement{Kind: Delete, Tag: "DELETE"}, fillKey),
	newForm(`begin((?:\s+\w+|\s*,)*)`, Statement{Kind: Begin, Tag: "BEGIN"}, fillBegin),
	newForm(`start\s+transaction((?:\s+\w+|\s*,)*)`, Statement{Kind: Begin, Tag: "START TRANSACTION"}, fillBegin),
	newForm(`(?:commit|end)(?:\s+work|\s+transaction)?`, Statement{Kind: Commit, Tag: "COMMIT"}, nil),
	newForm(`(?:rollback|abort)(?:\s+work|\s+transaction)?`, Statement{Kind: Rollback, Tag: "ROLLBACK"}, nil),
	newForm(`select\s+pg_current_xact_id_if_assigned\(\)`,
		selecting(TransactionID, "pg_current_xact_id_if_assigned", TransactionNumber), nil),
	newForm(`select\s+pg_current_xact_id_if_assigned\(\)::text`,
		selecting(TransactionID, "pg_current_xact_id_if_assigned", Text), nil),
	newForm(`select\s+samphirehitch_target\(\)`, selecting(Target, "samphirehitch_target", Text), nil),
	newForm(`select\s+pg_is_in_recovery\(\)`, selecting(Recovery, "pg_is_in_recovery", Boolean), nil),
	newForm(`select\s+pg_sleep\(\s*`+operandPattern+`\s*\)`, selecting(Sleep, "pg_sleep", Void), fillValue),
	newForm(`select\s+count\(\*\)\s+from\s+kv`, selecting(Count, "count", BigInteger), nil),
	newForm(`select\s+key\s*,\s*value\s+from\s+kv(?:\s+order\s+by\s+key)?`,
		Statement{Kind: All, Tag: "SELECT", Columns: []Column{{Name: "key", Type: Text}, {Name: "value", Type: Text}}}, nil),
	newForm(`select\s+(-?\d{1,9})`, selecting(Literal, "?column?", Integer), fillValue),
	newForm(`select\s+('(?:[^']|'')*')`, selecting(Literal, "?column?", Text), fillValue),
	newForm(`copy\s+kv(?:\s*\(\s*key\s*,\s*value\s*\))?\s+from\s+stdin(?:\s+(?:with\s*)?\(\s*format\s+text\s*\))?`, Statement{Kind: CopyIn, Tag: "COPY"}, nil),
	newForm(`copy\s+kv(?:\s*\(\s*key\s*,\s*value\s*\))?\s+to\s+stdout(?:\s+(?:with\s*)?\(\s*format\s+text\s*\))?`, Statement{Kind: CopyOut, Tag: "COPY"}, nil),
	newForm(`show\s+([\w.]+)`, Statement{Kind: Show, Tag: "SHOW"}, fillName),
	newForm(`set\s+.+`, Statement{Kind: Set, Tag: "SET"}, nil),
	newForm(`reset\s+.+`, Statement{Kind: Set, Tag: "RESET"}, nil),
	newForm(`discard\s+all`, Statement{Kind: Discard, Tag: "DISCARD ALL"}, nil),
	newForm(`deallocate\s+(?:prepare\s+)?(\S+)`, Statement{Kind: Discard, Tag: "DEALLOCATE"},
		func(s *Statement, groups []string) { s.Name = groups[0] }),
}

// Recognize returns the statement that the text is, of Kind Unknown when it is
// none that the package knows. Text is a single statement.
func Recognize(text string) Statement {
	text = strings.TrimSuffix(strings.TrimSpace(stripComments(text)), ";")
	text = strings.TrimSpace(text)
	for _, form := range forms {
		matches := form.pattern.FindStringSubmatch(text)
		if matches == nil {
			continue
		}
		s := form.base
		if form.fill != nil {
			form.fill(&s, matches[1:])
		}
		s.Parameters = max(s.Key.Parameter, s.Value.Parameter)
		return s
	}
	return Statement{Kind: Unknown}
}

func operand(text string) Operand {
	if number, isParameter := strings.CutPrefix(text, "$"); isParameter {
		n, _ := strconv.Atoi(number)
		return Operand{Parameter: n}
	}
	if quoted, isQuoted := strings.CutPrefix(text, "'"); isQuoted {
		return Operand{Literal: strings.ReplaceAll(strings.TrimSuffix(quoted, "'"), "''", "'")}
	}
	return Operand{Literal: text}
}
