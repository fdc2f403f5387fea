package session

import (
	"encoding/binary"
	"errors"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/statement"
)

// preparedStatement is the result of a Parse message.
type preparedStatement struct {
	statement     statement.Statement
	parameterOIDs []uint32
}

// portal is a prepared statement with its arguments. The first Execute runs it;
// result then holds the rows that further Execute messages return when the client
// limits the rows of each.
type portal struct {
	statement statement.Statement
	arguments []string
	// formats are the result format codes of the Bind message; see formatAt.
	formats  []int16
	executed bool
	result   result
}

// handleExtendedError sends the error of an extended query message and skips
// messages until the next Sync. It returns err only where the session must close.
func (s *Session) handleExtendedError(err error) error {
	if err == nil || errors.Is(err, errSessionClosed) {
		return err
	}
	s.failStatement(err)
	s.skipUntilSync = true
	return nil
}

func (s *Session) handleParse(message *pgproto3.Parse) error {
	if len(statement.SplitStatements(message.Query)) > 1 {
		return &database.Error{Code: "42601", Message: "cannot insert multiple commands into a prepared statement"}
	}
	if _, exists := s.prepared[message.Name]; exists && message.Name != "" {
		return &database.Error{Code: "42P05", Message: "prepared statement already exists"}
	}
	st := statement.Recognize(message.Query)
	if st.Kind == statement.Unknown {
		return errSyntax
	}
	parameters := make([]uint32, max(st.Parameters, len(message.ParameterOIDs)))
	copy(parameters, message.ParameterOIDs)
	for i, oid := range parameters {
		if oid == 0 {
			parameters[i] = pgtype.TextOID
		}
	}
	s.prepared[message.Name] = preparedStatement{statement: st, parameterOIDs: parameters}
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *Session) handleBind(message *pgproto3.Bind) error {
	prepared, found := s.prepared[message.PreparedStatement]
	if !found {
		return &database.Error{Code: "26000", Message: "prepared statement does not exist"}
	}
	if len(message.Parameters) != len(prepared.parameterOIDs) {
		return &database.Error{Code: "08P01", Message: "wrong number of parameters"}
	}
	boundPortal := &portal{statement: prepared.statement}
	boundPortal.formats = append(boundPortal.formats, message.ResultFormatCodes...)
	for i, value := range message.Parameters {
		argument, err := decodeArgument(value, prepared.parameterOIDs[i], formatAt(message.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		boundPortal.arguments = append(boundPortal.arguments, argument)
	}
	s.portals[message.DestinationPortal] = boundPortal
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatAt returns the format code of value i: no codes mean text for all values,
// and a single code applies to all values.
func formatAt(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return pgtype.TextFormatCode
	case 1:
		return formats[0]
	default:
		return formats[min(i, len(formats)-1)]
	}
}

// decodeArgument returns an argument in text format.
func decodeArgument(value []byte, oid uint32, format int16) (string, error) {
	if format == pgtype.TextFormatCode {
		return string(value), nil
	}
	switch {
	case oid == pgtype.Int8OID && len(value) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(value)), 10), nil
	case oid == pgtype.Int4OID && len(value) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(value))), 10), nil
	case oid == pgtype.TextOID || oid == pgtype.VarcharOID:
		return string(value), nil
	default:
		return "", &database.Error{Code: "22P03", Message: "incorrect binary data format"}
	}
}

func (s *Session) handleDescribe(message *pgproto3.Describe) error {
	if message.ObjectType == 'S' {
		prepared, found := s.prepared[message.Name]
		if !found {
			return &database.Error{Code: "26000", Message: "prepared statement does not exist"}
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: prepared.parameterOIDs})
		s.sendRowDescription(prepared.statement, nil)
		return nil
	}
	boundPortal, found := s.portals[message.Name]
	if !found {
		return &database.Error{Code: "34000", Message: "portal does not exist"}
	}
	s.sendRowDescription(boundPortal.statement, boundPortal.formats)
	return nil
}

// sendRowDescription describes the columns of a statement, or sends NoData when it
// returns no rows.
func (s *Session) sendRowDescription(st statement.Statement, formats []int16) {
	if st.Columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(newRowDescription(st.Columns, formats))
}

// handleExecute runs the portal the first time and sends its rows, at most MaxRows
// of them when that is positive.
func (s *Session) handleExecute(message *pgproto3.Execute) error {
	boundPortal, found := s.portals[message.Portal]
	if !found {
		return &database.Error{Code: "34000", Message: "portal does not exist"}
	}
	if boundPortal.statement.Kind == statement.Empty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !boundPortal.executed {
		output, err := s.runStatement(boundPortal.statement, boundPortal.arguments)
		if err != nil {
			return err
		}
		boundPortal.executed, boundPortal.result = true, output
	}
	if boundPortal.result.copyLines != nil {
		return s.sendCopy(boundPortal.result)
	}
	rows := boundPortal.result.rows
	if limit := int(message.MaxRows); limit > 0 && len(rows) > limit {
		boundPortal.result.rows = rows[limit:]
		boundPortal.result.countRows()
		s.sendRows(boundPortal.result, rows[:limit], boundPortal.formats)
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	boundPortal.result.rows = nil
	s.sendRows(boundPortal.result, rows, boundPortal.formats)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(boundPortal.result.tag)})
	return nil
}

func (s *Session) handleClose(message *pgproto3.Close) error {
	if message.ObjectType == 'S' {
		delete(s.prepared, message.Name)
	} else {
		delete(s.portals, message.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
	return nil
}
