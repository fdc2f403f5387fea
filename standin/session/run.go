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

// result is what a statement returns. Copied is not nil for a COPY to the caller.
type result struct {
	columns []statement.Column
	rows    [][]string
	tag     string
	copied  []string
	// null marks a single null instead of the rows' text.
	null bool
}

// run executes a statement in the transaction, opening one if need be.
func (s *Session) run(st statement.Statement, arguments []string) (result, error) {
	switch st.Kind {
	case statement.Begin:
		return s.begin(st), nil
	case statement.Commit:
		return s.commit()
	case statement.Rollback:
		s.rollback()
		return result{tag: st.Tag}, nil
	case statement.Unknown:
		return result{}, errSyntax
	}
	if s.failed {
		return result{}, &database.Error{Code: "25P02", Message: "current transaction is aborted"}
	}
	if s.transaction == nil {
		s.transaction = s.cfg.Database.Begin(false)
	}
	ctx, done := s.statementContext()
	defer done()
	return s.runWorking(ctx, st, arguments)
}

// runWorking spends a slot on the statements that touch data.
func (s *Session) runWorking(ctx context.Context, st statement.Statement, arguments []string) (result, error) {
	if !touchesData(st.Kind) {
		return s.runSetting(st), nil
	}
	release, err := s.cfg.Host.Work(ctx)
	if err != nil {
		return result{}, err
	}
	defer release()
	switch st.Kind {
	case statement.CopyIn:
		return s.copyIn(ctx)
	case statement.Sleep:
		if err := sleep(ctx, value(st.Value, arguments)); err != nil {
			return result{}, err
		}
		return result{tag: "SELECT 1", columns: st.Columns, rows: [][]string{{""}}}, nil
	case statement.Insert, statement.Update, statement.Increment, statement.Delete:
		return s.write(ctx, st, arguments)
	default:
		return s.read(st, arguments), nil
	}
}

func touchesData(kind statement.Kind) bool {
	switch kind {
	case statement.Show, statement.Set, statement.Discard, statement.TransactionID, statement.Recovery, statement.Empty:
		return false
	default:
		return true
	}
}

func value(operand statement.Operand, arguments []string) string {
	if operand.Parameter == 0 {
		return operand.Literal
	}
	return arguments[operand.Parameter-1]
}

func (s *Session) runSetting(st statement.Statement) result {
	answer := result{tag: st.Tag, columns: st.Columns}
	switch st.Kind {
	case statement.Show:
		answer.rows = [][]string{{s.setting(st.Name)}}
	case statement.Recovery:
		answer.rows = [][]string{{boolean(!s.cfg.Database.Primary())}}
		answer.tag = "SELECT 1"
	case statement.TransactionID:
		id := s.transaction.ID()
		answer.rows = [][]string{{strconv.FormatUint(id, 10)}}
		answer.null = id == 0
		answer.tag = "SELECT 1"
	case statement.Discard:
		s.discard(st.Name)
	}
	return answer
}

func boolean(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

func (s *Session) setting(name string) string {
	if name == "transaction_read_only" {
		return map[bool]string{true: "off", false: "on"}[s.cfg.Database.Primary()]
	}
	for _, parameter := range s.parameters() {
		if strings.EqualFold(parameter.Name, name) {
			return parameter.Value
		}
	}
	return ""
}

func (s *Session) discard(name string) {
	if name == "" || strings.EqualFold(name, "all") {
		clear(s.prepared)
		return
	}
	delete(s.prepared, strings.Trim(name, `"`))
}

func (s *Session) read(st statement.Statement, arguments []string) result {
	answer := result{tag: st.Tag, columns: st.Columns}
	switch st.Kind {
	case statement.Get:
		if found, exists := s.transaction.Get(value(st.Key, arguments)); exists {
			answer.rows = [][]string{{found}}
		}
	case statement.GetWithRole:
		if found, exists := s.transaction.Get(value(st.Key, arguments)); exists {
			answer.rows = [][]string{{found, s.setting("in_hot_standby")}}
		}
	case statement.All:
		answer.rows = sortedRows(s.transaction.Rows())
	case statement.Count:
		answer.rows = [][]string{{strconv.Itoa(len(s.transaction.Rows()))}}
	case statement.Literal:
		answer.rows = [][]string{{value(st.Value, arguments)}}
	case statement.Target:
		answer.rows = [][]string{{s.cfg.Target}}
	case statement.CopyOut:
		answer.copied = []string{}
		for _, row := range sortedRows(s.transaction.Rows()) {
			answer.copied = append(answer.copied, copyEscape.Replace(row[0])+"\t"+copyEscape.Replace(row[1])+"\n")
		}
		answer.tag += " " + strconv.Itoa(len(answer.copied))
		return answer
	}
	answer.tag += " " + strconv.Itoa(len(answer.rows))
	return answer
}

func sortedRows(rows map[string]string) [][]string {
	sorted := make([][]string, 0, len(rows))
	for key, value := range rows {
		sorted = append(sorted, []string{key, value})
	}
	slices.SortFunc(sorted, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return sorted
}

func (s *Session) write(ctx context.Context, st statement.Statement, arguments []string) (result, error) {
	decide := decider(st.Kind, value(st.Value, arguments))
	change, changed, err := s.transaction.Write(ctx, value(st.Key, arguments), decide)
	if err != nil {
		return result{}, err
	}
	answer := result{tag: st.Tag + " 0", columns: st.Columns}
	if changed {
		answer.tag = st.Tag + " 1"
		if st.Columns != nil {
			answer.rows = [][]string{{change.Value}}
		}
	}
	return answer, nil
}

func decider(kind statement.Kind, operand string) database.Decide {
	return func(current string, found bool) (database.Change, bool, error) {
		switch kind {
		case statement.Insert:
			if found {
				return database.Change{}, false, &database.Error{
					Code: database.CodeUniqueViolation, Message: "duplicate key value violates unique constraint",
				}
			}
			return database.Change{Value: operand}, true, nil
		case statement.Increment:
			if !found {
				return database.Change{}, false, nil
			}
			sum, err := add(current, operand)
			return database.Change{Value: sum}, true, err
		case statement.Delete:
			return database.Change{Deleted: true}, found, nil
		default:
			return database.Change{Value: operand}, found, nil
		}
	}
}

func add(a, b string) (string, error) {
	x, err := strconv.ParseInt(a, 10, 64)
	if err != nil {
		return "", errNotInteger
	}
	y, err := strconv.ParseInt(b, 10, 64)
	if err != nil {
		return "", errNotInteger
	}
	return strconv.FormatInt(x+y, 10), nil
}

var errNotInteger = &database.Error{Code: "22P02", Message: "invalid input syntax for type bigint"}
