package soak

import (
	"io"
	"strconv"
	"strings"
	"testing"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// runStatements runs statements on a connection to the primary, with IDs that count from 1, and
// records them as those of a caller.
func runStatements(t *testing.T, h *history, g *platformtest.Group, texts ...string) {
	t.Helper()
	conn, response, err := platformtest.DialCaller(g.CurrentPrimary().Address(), g.Service, "miller", responseTimeout)
	if err != nil || !response.OK() {
		t.Fatalf("connect to the target: %v, response %+v", err, response)
	}
	defer conn.Close()
	session := newSessionState()
	for i, text := range texts {
		id := strconv.Itoa(i + 1)
		h.addStatement(id, "miller", text)
		h.addSession(id, session)
		response, err := conn.Do(id, text, responseTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if response.OK() {
			h.addSuccess(id, response)
			session = session.after(text)
		}
	}
}

// respond returns a function that changes the response that a caller got.
func respond(id string, change func(*platformtest.Response)) func(*history) {
	return func(h *history) { change(h.statements[id].response) }
}

// inSession returns a function that has a statement sent after another one.
func inSession(id, text string) func(*history) {
	return func(h *history) { h.addSession(id, h.statements[id].session.after(text)) }
}

// sentAs returns a function that changes the text that a caller sent.
func sentAs(id, text string) func(*history) {
	return func(h *history) {
		sent := h.statements[id]
		sent.text = text
		h.statements[id] = sent
	}
}

// A target runs the statements of one connection, of which the history differs in one point.
func TestCheckerReportsResponsesAndSessionsOfOthers(t *testing.T) {
	for name, c := range map[string]struct {
		change func(h *history)
		want   string
	}{
		"nothing":             {func(*history) {}, ""},
		"rows":                {respond("3", func(r *platformtest.Response) { r.Rows = []string{"x"} }), "MIXED: 3, "},
		"row cut":             {respond("5", func(r *platformtest.Response) { r.Rows = []string{"a"} }), "MIXED: 5, "},
		"row doubled":         {respond("5", func(r *platformtest.Response) { r.Rows = append(r.Rows, r.Rows...) }), "MIXED: 5, "},
		"no row":              {respond("5", func(r *platformtest.Response) { r.Rows = nil }), "MIXED: 5, "},
		"signature":           {respond("3", func(r *platformtest.Response) { r.Signature = "ledger-1.1" }), "MIXED: 3, "},
		"no signature":        {respond("4", func(r *platformtest.Response) { r.Signature = "-" }), "MIXED: 4, "},
		"signature of a SET":  {respond("1", func(r *platformtest.Response) { r.Signature = "s-1.1" }), "MIXED: 1, "},
		"row of a SET":        {respond("1", func(r *platformtest.Response) { r.Rows = []string{""} }), "MIXED: 1, "},
		"value":               {inSession("3", "SET v x\n"), "PINNED: 3 was executed with the values"},
		"value too many":      {inSession("4", "SET w x"), "PINNED: 4 was executed with the values"},
		"shape":               {inSession("4", "PREPARE p WRITE q"), "PINNED: 4 was executed with the prepared statement"},
		"mode":                {inSession("4", "PREPARE p READ q\n\xff"), "PINNED: 4 was executed with the prepared statement"},
		"response to nothing": {func(h *history) { h.addUnsolicited(1, []byte("READY I 1.1\r\n")) }, "MIXED: daemon 2 sent"},
		"error to nothing":    {func(h *history) { h.addUnsolicited(1, []byte("ERROR ABORTED -\r\n")) }, ""},
		"malformed response":  {func(h *history) { h.addProtocolError(&platformtest.ProtocolError{Step: "execute statement"}) }, "MIXED: execute statement: message from"},
		"broken connection":   {func(h *history) { h.addProtocolError(io.ErrUnexpectedEOF) }, ""},
		"text after LF":       {sentAs("4", "EXECUTE p a a\n\xfe"), "UNASKED: 4 was sent as"},
		"text with blank":     {sentAs("4", "EXECUTE p a a\n\xff "), "UNASKED: 4 was sent as"},
	} {
		t.Run(name, func(t *testing.T) {
			g, err := platformtest.StartGroup("s", 1, 3, 16, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			h := newHistory()
			runStatements(t, h, g, "SET v x", "PREPARE p WRITE q\n\xff", "READ a", "EXECUTE p a a\n\xff", "READ a")
			c.change(h)
			violations := h.check([]*platformtest.Group{g})
			if c.want == "" && len(violations) > 0 || c.want != "" && (len(violations) != 1 || !strings.HasPrefix(violations[0], c.want)) {
				t.Errorf("violations %q, want one that starts with %q", violations, c.want)
			}
		})
	}
}

func TestCheckerReportsTextsOutsideTheProtocol(t *testing.T) {
	g, err := platformtest.StartGroup("s", 1, 3, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	h := newHistory()
	runStatements(t, h, g, "FETCH a")
	violations := h.check([]*platformtest.Group{g})
	if len(violations) != 1 || !strings.HasPrefix(violations[0], "UNASKED: execute statement: message from ") {
		t.Errorf("violations %q", violations)
	}
}
