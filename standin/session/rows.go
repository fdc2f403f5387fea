package session

import (
	"context"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/statement"
)

// voidOID is the object identifier of PostgreSQL's void type.
const voidOID = 2278

// columnWireType is a data type as a row description states it.
type columnWireType struct {
	oid  uint32
	size int16
}

func wireTypeOf(t statement.Type) columnWireType {
	switch t {
	case statement.Integer:
		return columnWireType{pgtype.Int4OID, 4}
	case statement.BigInteger:
		return columnWireType{pgtype.Int8OID, 8}
	case statement.XID8:
		return columnWireType{pgtype.XID8OID, 8}
	case statement.Boolean:
		return columnWireType{pgtype.BoolOID, 1}
	case statement.Void:
		return columnWireType{voidOID, 4}
	default:
		return columnWireType{pgtype.TextOID, -1}
	}
}

func rowDescription(columns []statement.Column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, column := range columns {
		wire := wireTypeOf(column.Type)
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name:         []byte(column.Name),
			DataTypeOID:  wire.oid,
			DataTypeSize: wire.size,
			TypeModifier: -1,
			Format:       formatAt(formats, i),
		})
	}
	return description
}

func (s *Session) sendRows(output result, rows [][]string, formats []int16) {
	for _, row := range rows {
		data := &pgproto3.DataRow{}
		for i, text := range row {
			var cell []byte
			if !output.isNull {
				cell = encodeCell(text, output.columns[i].Type, formatAt(formats, i))
			}
			data.Values = append(data.Values, cell)
		}
		s.backend.Send(data)
	}
}

func encodeCell(text string, t statement.Type, format int16) []byte {
	if format == pgtype.TextFormatCode {
		return []byte(text)
	}
	switch t {
	case statement.Integer:
		n, _ := strconv.ParseInt(text, 10, 32)
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case statement.BigInteger, statement.XID8:
		n, _ := strconv.ParseInt(text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case statement.Boolean:
		if text == "t" {
			return []byte{1}
		}
		return []byte{0}
	default:
		return []byte(text)
	}
}

// The text format of COPY escapes what separates rows and columns.
var (
	copyEscape   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
	copyUnescape = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
)

const copyColumns = 2

func (s *Session) sendCopy(output result) error {
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, copyColumns)})
	for _, line := range output.copyLines {
		s.backend.Send(&pgproto3.CopyData{Data: []byte(line)})
	}
	s.backend.Send(&pgproto3.CopyDone{})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(output.tag)})
	return nil
}

// copyIn takes the caller's data to its end and then writes it.
func (s *Session) copyIn(ctx context.Context) (result, error) {
	if !s.cfg.Database.Primary() {
		return result{}, &database.Error{Code: database.CodeReadOnly, Message: "cannot execute COPY FROM in a read-only transaction"}
	}
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, copyColumns)})
	if err := s.flush(); err != nil {
		return result{}, err
	}
	data, err := s.receiveCopy()
	if err != nil {
		return result{}, err
	}
	count := 0
	for line := range strings.Lines(data) {
		line = strings.TrimSuffix(line, "\n")
		if line == `\.` || line == "" {
			continue
		}
		key, value, found := strings.Cut(line, "\t")
		if !found {
			return result{}, &database.Error{Code: "22P04", Message: "missing data for column \"value\""}
		}
		insert := rowUpdate(statement.Insert, copyUnescape.Replace(value))
		if _, _, err := s.transaction.Write(ctx, copyUnescape.Replace(key), insert); err != nil {
			return result{}, err
		}
		count++
	}
	return result{tag: "COPY " + strconv.Itoa(count)}, nil
}

func (s *Session) receiveCopy() (string, error) {
	var data strings.Builder
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return "", eris.Wrap(errSessionClosed, err.Error())
		}
		if err := s.cfg.Server.WaitUntilReachable(); err != nil {
			return "", eris.Wrap(errSessionClosed, err.Error())
		}
		switch message := message.(type) {
		case *pgproto3.CopyData:
			data.Write(message.Data)
		case *pgproto3.CopyDone:
			return data.String(), nil
		case *pgproto3.CopyFail:
			return "", &database.Error{Code: database.CodeQueryCanceled, Message: "COPY from stdin failed: " + message.Message}
		case *pgproto3.Flush, *pgproto3.Sync:
			// Ignored during COPY.
		default:
			return "", &database.Error{Code: "08P01", Message: "unexpected message during COPY"}
		}
	}
}
