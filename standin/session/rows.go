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

// voidOID is the OID of PostgreSQL's void type, which pgtype lacks.
const voidOID = 2278

// wireType is the data type of a column in a RowDescription. A size of -1 means
// variable length.
type wireType struct {
	oid  uint32
	size int16
}

func wireTypeOf(t statement.Type) wireType {
	switch t {
	case statement.Integer:
		return wireType{pgtype.Int4OID, 4}
	case statement.BigInteger:
		return wireType{pgtype.Int8OID, 8}
	case statement.XID8:
		return wireType{pgtype.XID8OID, 8}
	case statement.Boolean:
		return wireType{pgtype.BoolOID, 1}
	case statement.Void:
		return wireType{voidOID, 4}
	default:
		return wireType{pgtype.TextOID, -1}
	}
}

func newRowDescription(columns []statement.Column, formats []int16) *pgproto3.RowDescription {
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

// sendRows sends rows that have the columns of output. They are an argument of their own
// because a portal may send only some of the output's rows.
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

// encodeCell encodes a value that is given in text format.
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

// The text format of COPY escapes the characters that separate rows and columns,
// and the backslash.
var (
	copyEscape   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
	copyUnescape = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
)

// copyColumnCount counts the columns key and value.
const copyColumnCount = 2

// sendCopy sends the data of a COPY TO STDOUT.
func (s *Session) sendCopy(output result) error {
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, copyColumnCount)})
	for _, line := range output.copyLines {
		s.backend.Send(&pgproto3.CopyData{Data: []byte(line)})
	}
	s.backend.Send(&pgproto3.CopyDone{})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(output.tag)})
	return nil
}

// runCopyIn runs COPY FROM STDIN. It receives all data before it inserts the first
// row.
func (s *Session) runCopyIn(ctx context.Context) (result, error) {
	if !s.cfg.Database.Primary() {
		return result{}, &database.Error{Code: database.CodeReadOnly, Message: "cannot execute COPY FROM in a read-only transaction"}
	}
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, copyColumnCount)})
	if err := s.flush(); err != nil {
		return result{}, err
	}
	data, err := s.receiveCopyData()
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

// receiveCopyData receives messages up to CopyDone and returns their data.
func (s *Session) receiveCopyData() (string, error) {
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
			// The protocol ignores these during COPY.
		default:
			return "", &database.Error{Code: "08P01", Message: "unexpected message during COPY"}
		}
	}
}
