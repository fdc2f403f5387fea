package execute

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// Settings that samphirehitch itself keeps.
const (
	settingPrefix          = "samphirehitch."
	settingMaxAge          = "samphirehitch.max_age"
	settingIdempotent      = "samphirehitch.idempotent"
	settingToken           = "samphirehitch.token"
	settingSession         = "samphirehitch.session"
	settingReadOnly        = "transaction_read_only"
	settingApplicationName = "application_name"
	settingClientEncoding  = "client_encoding"
	settingAll             = "all"
)

// runLocal serves batches that need no target. It reports whether it did.
func (r *request) runLocal() (served bool, err error) {
	statement := &r.plan.statement
	switch statement.Kind {
	case classify.KindEmpty:
		return r.runWithoutStatement()
	case classify.KindDeallocate:
		r.deallocate(statement.Name)
		return true, r.answerLocally(tagDeallocate(statement.Name))
	case classify.KindDiscard:
		return r.runDiscard()
	case classify.KindSet:
		return r.runSet()
	case classify.KindReset:
		return r.runReset()
	case classify.KindRead:
		return r.runShow()
	case classify.KindCommit, classify.KindRollback:
		if r.status != statusIdle {
			return false, nil
		}
		return true, r.answerLocally(endTag(statement.Kind))
	default:
		return false, nil
	}
}

func endTag(kind classify.Kind) string {
	if kind == classify.KindCommit {
		return queryCommit
	}
	return queryRollback
}

func tagDeallocate(name string) string {
	if name == settingAll {
		return "DEALLOCATE ALL"
	}
	return "DEALLOCATE"
}

// runWithoutStatement serves an empty Query and a batch that only closes
// prepared statements.
func (r *request) runWithoutStatement() (bool, error) {
	if r.plan.batch.Query != nil {
		if err := r.out.add(&pgproto3.EmptyQueryResponse{}); err != nil {
			return true, err
		}
		return true, r.finish()
	}
	for _, s := range r.plan.steps {
		if s.kind != stepClose || s.message != nil {
			return false, nil
		}
	}
	return true, r.answerLocally("")
}

// runFailed serves a batch of a transaction that has failed and that no target
// holds any more.
func (r *request) runFailed() error {
	kind := r.plan.statement.Kind
	if kind != classify.KindCommit && kind != classify.KindRollback {
		return refusal.New(refusal.FailedTransaction, refusal.StepClassify, "", nil)
	}
	r.status = statusIdle
	return r.answerLocally(queryRollback)
}

func (r *request) deallocate(name string) {
	if name == settingAll {
		r.session.Statements.Clear()
		return
	}
	r.session.Statements.Delete(name)
}

func (r *request) runDiscard() (bool, error) {
	name := r.plan.statement.Name
	if name == settingAll {
		if r.status != statusIdle {
			return true, r.unsupported("DISCARD ALL inside of a transaction")
		}
		r.session.Statements.Clear()
		r.session.Settings = session.Settings{}
	}
	return true, r.answerLocally("DISCARD " + strings.ToUpper(name))
}

// runSet keeps samphirehitch's own settings and refuses those that can't follow
// the session.
func (r *request) runSet() (bool, error) {
	statement := &r.plan.statement
	name := statement.Name
	switch {
	case strings.HasPrefix(name, settingPrefix):
		if err := r.setOwn(name, plainValue(statement.Value)); err != nil {
			return true, r.failTransaction(err)
		}
		return true, r.answerLocally("SET")
	case name == settingApplicationName:
		status := &pgproto3.ParameterStatus{Name: name, Value: plainValue(statement.Value)}
		if err := r.out.add(status); err != nil {
			return true, err
		}
		return true, r.answerLocally("SET")
	case name == settingClientEncoding || name == "names":
		if !strings.EqualFold(strings.ReplaceAll(plainValue(statement.Value), "-", ""), "utf8") {
			return true, r.unsupported("an encoding other than UTF8")
		}
		return true, r.answerLocally("SET")
	case !session.Replayable(name):
		return true, r.unsupported("setting " + name)
	default:
		return false, nil
	}
}

// plainValue strips the operator and the quotes of a SET.
func plainValue(value string) string {
	value = strings.TrimSpace(value)
	if strings.HasPrefix(value, "=") {
		value = value[1:]
	} else if len(value) > 2 && strings.EqualFold(value[:2], "to") && value[2] <= ' ' {
		value = value[2:]
	}
	return strings.Trim(strings.TrimSpace(value), "'")
}

// setOwn changes one of samphirehitch's own settings.
func (r *request) setOwn(name, value string) error {
	invalid := refusal.New(refusal.InvalidSetting, refusal.StepClassify, "", nil)
	invalid.Reason = name
	switch name {
	case settingMaxAge:
		age, err := time.ParseDuration(value)
		if err != nil || age < 0 {
			return invalid
		}
		r.session.SetMaxAge(age)
	case settingToken:
		if r.session.Present(value) != nil {
			return invalid
		}
	case settingIdempotent:
		switch strings.ToLower(value) {
		case "on", "true":
			r.session.Idempotent = true
		case "off", "false":
			r.session.Idempotent = false
		default:
			return invalid
		}
	default:
		return invalid
	}
	return nil
}

// runReset sets settings back.
func (r *request) runReset() (bool, error) {
	name := r.plan.statement.Name
	switch {
	case name == settingAll:
		if r.status != statusIdle {
			return true, r.unsupported("RESET ALL inside of a transaction")
		}
		r.session.Settings = session.Settings{}
		return true, r.answerLocally("RESET")
	case name == settingMaxAge:
		r.session.SetMaxAge(time.Duration(r.session.Route.MaxAgeMillis) * time.Millisecond)
		return true, r.answerLocally("RESET")
	case name == settingIdempotent:
		r.session.Idempotent = false
		return true, r.answerLocally("RESET")
	case name == settingApplicationName || name == settingClientEncoding:
		return true, r.answerLocally("RESET")
	case !session.Replayable(name):
		return true, r.unsupported("setting " + name)
	default:
		return false, nil
	}
}
