package upstream

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Messages of a target in wire format, written out so that they do not depend on the
// codec under test.
const (
	loginOK        = "R\x00\x00\x00\x08\x00\x00\x00\x00" + keyData + readyIdle
	keyData        = "K\x00\x00\x00\x0c\x00\x00\x00\x07abcd"
	readyIdle      = "Z\x00\x00\x00\x05I"
	readyOpen      = "Z\x00\x00\x00\x05T"
	readyFailed    = "Z\x00\x00\x00\x05E"
	rowDescription = "T\x00\x00\x00\x1a\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"
	rowX           = "D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x01x"
	rowXY          = "D\x00\x00\x00\x10\x00\x02\x00\x00\x00\x01x\x00\x00\x00\x01y"
	done           = "C\x00\x00\x00\x0dSELECT 1\x00"
	doneTwo        = "C\x00\x00\x00\x0dSELECT 2\x00"
	emptyQuery     = "I\x00\x00\x00\x04"
	errorBusy      = "E\x00\x00\x00\x16SERROR\x00C53300\x00M.\x00\x00"
	errorFatal     = "E\x00\x00\x00\x16SFATAL\x00C57P01\x00M.\x00\x00"
	errorNoCode    = "E\x00\x00\x00\x0fSERROR\x00M.\x00\x00"
	notice         = "N\x00\x00\x00\x16SNOTIC\x00C00000\x00M.\x00\x00"
	timeZone       = "S\x00\x00\x00\x11TimeZone\x00UTC\x00"
	parseComplete  = "1\x00\x00\x00\x04"
	bindComplete   = "2\x00\x00\x00\x04"
	noData         = "n\x00\x00\x00\x04"
	parameters     = "t\x00\x00\x00\x06\x00\x00"
	suspended      = "s\x00\x00\x00\x04"
	copyIn         = "G\x00\x00\x00\x07\x00\x00\x00"
	copyOut        = "H\x00\x00\x00\x07\x00\x00\x00"
	copyData       = "d\x00\x00\x00\x05x"
	copyDone       = "c\x00\x00\x00\x04"
)

var (
	oneQuery   = []pgproto3.FrontendMessage{&pgproto3.Query{String: "q"}}
	twoQueries = []pgproto3.FrontendMessage{&pgproto3.Query{String: "q"}, &pgproto3.Query{String: "q"}}
	pipeline   = []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: "q"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
	}
	describe = []pgproto3.FrontendMessage{&pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Sync{}}
)

// receiveScript logs in, sends the requests and receives all responses of a target that
// sends the script. It returns the error before the last ReadyForQuery, if any.
func receiveScript(t *testing.T, requests []pgproto3.FrontendMessage, script string) (*Conn, error) {
	t.Helper()
	socket := &bytesConn{reader: bytes.NewReader([]byte(loginOK + script))}
	conn, err := logIn(t.Context(), Config{Target: "t"}, socket)
	if err != nil {
		t.Fatal(err)
	}
	ready := 0
	for _, request := range requests {
		conn.Send(request)
		switch request.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			ready++
		}
	}
	for ready > 0 {
		message, err := conn.Receive()
		if err != nil {
			return conn, err
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			ready--
		}
	}
	return conn, nil
}

// Guards against a response that is put together from parts, or lacks some, and is taken for
// the response to the request.
func TestMalformedResponseClosesTheConnection(t *testing.T) {
	for name, c := range map[string]struct {
		requests []pgproto3.FrontendMessage
		script   string
	}{
		"ready alone":                    {oneQuery, readyIdle},
		"rows without completion":        {oneQuery, rowDescription + rowX + readyIdle},
		"row without description":        {oneQuery, rowX + done + readyIdle},
		"row after completion":           {oneQuery, rowDescription + rowX + done + rowX + readyIdle},
		"row of another width":           {oneQuery, rowDescription + rowXY + done + readyIdle},
		"fewer rows than counted":        {oneQuery, rowDescription + done + readyIdle},
		"more rows than counted":         {oneQuery, rowDescription + rowX + rowX + done + readyIdle},
		"more rows of a portal":          {pipeline, parseComplete + bindComplete + rowX + rowX + done + readyIdle},
		"uncounted rows":                 {oneQuery, rowDescription + rowX + "C\x00\x00\x00\x0bSELECT\x00" + readyIdle},
		"description twice":              {oneQuery, rowDescription + rowDescription + done + readyIdle},
		"row after error":                {oneQuery, rowDescription + rowX + errorBusy + rowX + readyIdle},
		"completion after error":         {oneQuery, errorBusy + done + readyIdle},
		"error twice":                    {oneQuery, errorBusy + errorBusy + readyIdle},
		"error without SQLSTATE":         {oneQuery, errorNoCode + readyIdle},
		"unknown status":                 {oneQuery, done + "Z\x00\x00\x00\x05i"},
		"open transaction after error":   {oneQuery, errorBusy + readyOpen},
		"failed transaction, no error":   {oneQuery, done + readyFailed},
		"copy data without start":        {oneQuery, copyData + copyDone + done + readyIdle},
		"copy without end":               {oneQuery, copyOut + copyData + done + readyIdle},
		"copy data after end":            {oneQuery, copyOut + copyDone + copyData + done + readyIdle},
		"copy in without completion":     {oneQuery, copyIn + readyIdle},
		"parse completion to a query":    {oneQuery, parseComplete + readyIdle},
		"copy of a ready":                {twoQueries, done + readyIdle + readyIdle + done + readyIdle},
		"bind before parse":              {pipeline, bindComplete + parseComplete + done + readyIdle},
		"execute left out":               {pipeline, parseComplete + bindComplete + readyIdle},
		"execute twice":                  {pipeline, parseComplete + bindComplete + done + done + readyIdle},
		"rows of two widths":             {pipeline, parseComplete + bindComplete + rowX + rowXY + done + readyIdle},
		"copy data in rows":              {pipeline, parseComplete + bindComplete + rowX + copyData + done + readyIdle},
		"pipeline goes on after error":   {pipeline, parseComplete + errorBusy + bindComplete + readyIdle},
		"pipeline with two errors":       {pipeline, parseComplete + errorBusy + errorBusy + readyIdle},
		"description before parameters":  {describe, noData + readyIdle},
		"parameters twice":               {describe, parameters + parameters + noData + readyIdle},
		"parameters without description": {describe, parameters + readyIdle},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := receiveScript(t, c.requests, c.script)
			var violation *ProtocolError
			if !errors.As(err, &violation) || conn.Reusable() {
				t.Errorf("error %v, reusable %v; want a protocol error", err, conn.Reusable())
			}
		})
	}
}

func TestWellFormedResponsesAreAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		requests []pgproto3.FrontendMessage
		script   string
	}{
		"rows":                     {oneQuery, rowDescription + rowX + rowX + doneTwo + readyIdle},
		"no rows":                  {oneQuery, done + readyIdle},
		"empty query":              {oneQuery, emptyQuery + readyIdle},
		"several statements":       {oneQuery, done + rowDescription + rowX + done + readyIdle},
		"error in a later one":     {oneQuery, done + errorBusy + readyIdle},
		"error after rows":         {oneQuery, rowDescription + rowX + errorBusy + readyIdle},
		"copy out":                 {oneQuery, copyOut + copyData + copyDone + done + readyIdle},
		"copy in":                  {oneQuery, copyIn + done + readyIdle},
		"at any time":              {oneQuery, timeZone + rowDescription + notice + rowX + timeZone + done + notice + readyIdle},
		"transaction":              {twoQueries, done + readyOpen + done + readyIdle},
		"failed transaction":       {twoQueries, done + readyOpen + errorBusy + readyFailed},
		"empty query after error":  {twoQueries, errorBusy + readyFailed + emptyQuery + readyFailed},
		"pipeline":                 {pipeline, parseComplete + bindComplete + rowX + rowX + doneTwo + readyIdle},
		"table from a query":       {oneQuery, doneTwo + readyIdle},
		"suspended portal":         {pipeline, parseComplete + bindComplete + rowX + suspended + readyOpen},
		"error in a pipeline":      {pipeline, parseComplete + errorBusy + readyIdle},
		"error of the commit":      {pipeline, parseComplete + bindComplete + done + errorBusy + readyIdle},
		"described statement":      {describe, parameters + rowDescription + readyIdle},
		"described without result": {describe, parameters + noData + readyIdle},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := receiveScript(t, c.requests, c.script)
			if err != nil || conn.Reusable() != strings.HasSuffix(c.script, "I") {
				t.Errorf("error %v, reusable %v", err, conn.Reusable())
			}
		})
	}
	conn, err := receiveScript(t, oneQuery, done+errorBusy+errorFatal)
	if err == nil || conn.Reusable() {
		t.Error("a session that the target has ended is reusable")
	}
	var violation *ProtocolError
	if errors.As(err, &violation) {
		t.Errorf("%v after a fatal error that follows another", err)
	}
}
