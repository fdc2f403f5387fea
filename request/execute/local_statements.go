package execute

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// Names in SET, SHOW, RESET, DISCARD and DEALLOCATE that the instance handles
// itself.
const (
	settingPrefix          = "samphirehitch."
	settingMaxAge          = "samphirehitch.max_age"
	settingIdempotent      = "samphirehitch.idempotent"
	settingToken           = "samphirehitch.token"
	settingSession         = "samphirehitch.session"
	settingReadOnly        = "transaction_read_only"
	settingApplicationName = "application_name"
	settingClientEncoding  = "client_encoding"
	nameAll                = "all"
)

// serveLocally serves the batch if that requires no target. It reports whether
// it did.
func (r *request) serveLocally() (served bool, err error) {
	statement := &r.plan.statement
	switch statement.Kind {
	case classify.KindEmpty:
		return r.runWithoutStatement()
	case classify.KindDeallocate:
		r.deallocate(statement.Name)
		return true, r.respondLocally(deallocateTag(statement.Name))
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
		return true, r.respondLocally(transactionEndTag(statement.Kind))
	default:
		return false, nil
	}
}

// transactionEndTag returns the command tag of a COMMIT or ROLLBACK.
func transactionEndTag(kind classify.Kind) string {
	if kind == classify.KindCommit {
		return queryCommit
	}
	return queryRollback
}

func deallocateTag(name string) string {
	if name == nameAll {
		return "DEALLOCATE ALL"
	}
	return "DEALLOCATE"
}

// runWithoutStatement serves an empty Query and a batch that only closes
// prepared statements. Other batches that execute nothing need a target.
func (r *request) runWithoutStatement() (bool, error) {
	if r.plan.batch.Query != nil {
		if err := r.response.write(&pgproto3.EmptyQueryResponse{}); err != nil {
			return true, err
		}
		return true, r.finish()
	}
	for _, step := range r.plan.steps {
		if step.kind != stepClose || step.message != nil {
			return false, nil
		}
	}
	return true, r.respondLocally("")
}

// runInFailedTransaction serves a batch in a failed transaction that has no
// target connection any more. Only the end of the transaction is accepted. As
// in PostgreSQL, the command tag is ROLLBACK for a COMMIT too.
func (r *request) runInFailedTransaction() error {
	kind := r.plan.statement.Kind
	if kind != classify.KindCommit && kind != classify.KindRollback {
		return refusal.New(refusal.FailedTransaction, refusal.StepClassify, "", nil)
	}
	r.status = statusIdle
	return r.respondLocally(queryRollback)
}

// deallocate removes a prepared statement, or all, from the session. Target
// connections keep theirs, which other sessions may use.
func (r *request) deallocate(name string) {
	if name == nameAll {
		r.session.Statements.Clear()
		return
	}
	r.session.Statements.Delete(name)
}

// runDiscard serves DISCARD. Only DISCARD ALL has an effect: it drops the
// session's prepared statements and settings.
func (r *request) runDiscard() (bool, error) {
	name := r.plan.statement.Name
	if name == nameAll {
		if r.status != statusIdle {
			return true, r.refuseUnsupported("DISCARD ALL inside of a transaction")
		}
		r.session.Statements.Clear()
		r.session.Settings = session.Settings{}
	}
	return true, r.respondLocally("DISCARD " + strings.ToUpper(name))
}

// runSet applies settings that the instance handles itself, and refuses those
// that cannot be carried from one target connection to the next. The application
// name is reported back to the caller and not sent to targets.
func (r *request) runSet() (bool, error) {
	statement := &r.plan.statement
	name := statement.Name
	switch {
	case strings.HasPrefix(name, settingPrefix):
		if err := r.setProxySetting(name, unquoteSetValue(statement.Value)); err != nil {
			return true, r.failTransaction(err)
		}
		return true, r.respondLocally("SET")
	case name == settingApplicationName:
		status := &pgproto3.ParameterStatus{Name: name, Value: unquoteSetValue(statement.Value)}
		if err := r.response.write(status); err != nil {
			return true, err
		}
		return true, r.respondLocally("SET")
	case name == settingClientEncoding || name == "names":
		if !strings.EqualFold(strings.ReplaceAll(unquoteSetValue(statement.Value), "-", ""), "utf8") {
			return true, r.refuseUnsupported("an encoding other than UTF8")
		}
		return true, r.respondLocally("SET")
	case !session.IsReplayable(name):
		return true, r.refuseUnsupported("setting " + name)
	default:
		return false, nil
	}
}

// unquoteSetValue returns the value of a SET without "=" or TO and without
// quotes.
func unquoteSetValue(value string) string {
	value = strings.TrimSpace(value)
	if strings.HasPrefix(value, "=") {
		value = value[1:]
	} else if len(value) > 2 && strings.EqualFold(value[:2], "to") && value[2] <= ' ' {
		value = value[2:]
	}
	return strings.Trim(strings.TrimSpace(value), "'")
}

// setProxySetting changes a samphirehitch.* setting of the session.
func (r *request) setProxySetting(name, value string) error {
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
		if r.session.ApplyToken(value) != nil {
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

// runReset resets settings that the instance handles itself, and refuses those
// that runSet refuses.
func (r *request) runReset() (bool, error) {
	name := r.plan.statement.Name
	switch {
	case name == nameAll:
		if r.status != statusIdle {
			return true, r.refuseUnsupported("RESET ALL inside of a transaction")
		}
		r.session.Settings = session.Settings{}
		return true, r.respondLocally("RESET")
	case name == settingMaxAge:
		r.session.SetMaxAge(time.Duration(r.session.Route.MaxAgeMillis) * time.Millisecond)
		return true, r.respondLocally("RESET")
	case name == settingIdempotent:
		r.session.Idempotent = false
		return true, r.respondLocally("RESET")
	case name == settingApplicationName || name == settingClientEncoding:
		return true, r.respondLocally("RESET")
	case !session.IsReplayable(name):
		return true, r.refuseUnsupported("setting " + name)
	default:
		return false, nil
	}
}
