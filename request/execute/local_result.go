package execute

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// localResult is the result of a statement that the instance executes itself.
type localResult struct {
	commandTag string
	// column is the name of the only column of the only row. It is empty when
	// the statement returns no rows.
	column string
	value  string
}

// runShow serves SHOW for samphirehitch.* settings. Outside of a transaction it
// also serves SHOW transaction_read_only, by which drivers find a server that
// accepts writes.
func (r *request) runShow() (bool, error) {
	name := r.plan.statement.Name
	isProxySetting := strings.HasPrefix(name, settingPrefix) || name == settingReadOnly && r.status == statusIdle
	if !isProxySetting || r.plan.statement.Multiple {
		return false, nil
	}
	result := localResult{commandTag: "SHOW", column: name}
	switch name {
	case settingReadOnly:
		result.value = "off"
	case settingToken:
		result.value = r.session.Floor.Token()
	case settingSession:
		result.value = r.session.Name
	case settingMaxAge:
		result.value = r.session.MaxAge.String()
	case settingIdempotent:
		result.value = strconv.FormatBool(r.session.Idempotent)
	default:
		return true, r.refuseUnsupported("setting " + name)
	}
	if err := r.writeLocalResult(result); err != nil {
		return true, err
	}
	return true, r.finish()
}

// respondLocally writes the whole response to a batch whose statement returns
// the command tag and no rows.
func (r *request) respondLocally(tag string) error {
	if err := r.writeLocalResult(localResult{commandTag: tag}); err != nil {
		return err
	}
	return r.finish()
}

// writeLocalResult writes the response to the batch without its ReadyForQuery,
// and records the prepared statements that the batch parses or closes.
func (r *request) writeLocalResult(result localResult) error {
	if r.plan.batch.Query != nil {
		if result.column != "" {
			if err := r.response.write(result.rowDescription()); err != nil {
				return err
			}
		}
		return r.writeResultRows(result)
	}
	for _, step := range r.plan.steps {
		if err := r.writeStepResponse(step, result); err != nil {
			return err
		}
	}
	return nil
}

// rowDescription returns the RowDescription of the result, or NoData.
func (result *localResult) rowDescription() pgproto3.BackendMessage {
	if result.column == "" {
		return &pgproto3.NoData{}
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(result.column), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// writeResultRows writes the row, if there is one, and the CommandComplete.
func (r *request) writeResultRows(result localResult) error {
	if result.column != "" {
		if err := r.response.write(&pgproto3.DataRow{Values: [][]byte{[]byte(result.value)}}); err != nil {
			return err
		}
	}
	return r.response.write(newCommandComplete(result.commandTag))
}

// writeStepResponse writes the response to one extended query message.
func (r *request) writeStepResponse(step batchStep, result localResult) error {
	switch step.kind {
	case stepParse:
		if err := r.session.Statements.Put(step.callerName, step.statement); err != nil {
			return err
		}
		return r.response.write(&pgproto3.ParseComplete{})
	case stepBind:
		return r.response.write(&pgproto3.BindComplete{})
	case stepDescribeStatement:
		if err := r.response.write(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
		return r.response.write(result.rowDescription())
	case stepDescribePortal:
		return r.response.write(result.rowDescription())
	case stepExecute:
		return r.writeResultRows(result)
	default:
		if step.message == nil { // the Close of a statement, not that of a portal
			r.session.Statements.Delete(step.callerName)
		}
		return r.response.write(&pgproto3.CloseComplete{})
	}
}
