package execute

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// localAnswer is the result of a statement that is answered here.
type localAnswer struct {
	tag string
	// column names the only column; empty when there are no rows.
	column string
	value  string
}

// runShow answers SHOW for samphirehitch's own settings, and for the one by which
// drivers look for a server that takes writes.
func (r *request) runShow() (bool, error) {
	name := r.plan.statement.Name
	own := strings.HasPrefix(name, settingPrefix) || name == settingReadOnly && r.status == statusIdle
	if !own || r.plan.statement.Multiple {
		return false, nil
	}
	answer := localAnswer{tag: "SHOW", column: name}
	switch name {
	case settingReadOnly:
		answer.value = "off"
	case settingToken:
		answer.value = r.session.Floor.Token()
	case settingSession:
		answer.value = r.session.Name
	case settingMaxAge:
		answer.value = r.session.MaxAge.String()
	case settingIdempotent:
		answer.value = strconv.FormatBool(r.session.Idempotent)
	default:
		return true, r.unsupported("setting " + name)
	}
	if err := r.answer(answer); err != nil {
		return true, err
	}
	return true, r.finish()
}

// answerLocally answers the batch as a target would that returns the tag and no
// rows.
func (r *request) answerLocally(tag string) error {
	if err := r.answer(localAnswer{tag: tag}); err != nil {
		return err
	}
	return r.finish()
}

// answer answers the batch without its ReadyForQuery. Statements that it parses
// are recorded.
func (r *request) answer(a localAnswer) error {
	if r.plan.batch.Query != nil {
		if a.column != "" {
			if err := r.out.add(a.description()); err != nil {
				return err
			}
		}
		return r.answerRows(a)
	}
	for _, s := range r.plan.steps {
		if err := r.answerStep(s, a); err != nil {
			return err
		}
	}
	return nil
}

// description describes the result.
func (a *localAnswer) description() pgproto3.BackendMessage {
	if a.column == "" {
		return &pgproto3.NoData{}
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(a.column), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

func (r *request) answerRows(a localAnswer) error {
	if a.column != "" {
		if err := r.out.add(&pgproto3.DataRow{Values: [][]byte{[]byte(a.value)}}); err != nil {
			return err
		}
	}
	return r.out.add(complete(a.tag))
}

func (r *request) answerStep(s step, a localAnswer) error {
	switch s.kind {
	case stepParse:
		if err := r.session.Statements.Put(s.name, s.statement); err != nil {
			return err
		}
		return r.out.add(&pgproto3.ParseComplete{})
	case stepBind:
		return r.out.add(&pgproto3.BindComplete{})
	case stepDescribeStatement:
		if err := r.out.add(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
		return r.out.add(a.description())
	case stepDescribePortal:
		return r.out.add(a.description())
	case stepExecute:
		return r.answerRows(a)
	default:
		r.session.Statements.Delete(s.name)
		return r.out.add(&pgproto3.CloseComplete{})
	}
}
