package execute

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/process/topology"
)

// wireClient is a connection to the server on which a test sends and receives
// single protocol messages.
type wireClient struct {
	t         testing.TB
	frontend  *pgproto3.Frontend
	processID uint32
	secretKey []byte
	close     func() error
	// token is the last one that the server sent.
	token string
}

// connectRaw logs in with the key. extra is appended to the connection string.
func (h *harness) connectRaw(key topology.KeyID, extra string) *wireClient {
	h.t.Helper()
	conn, err := pgconn.Connect(h.t.Context(), h.connString(key, testSecret, "ledger", extra))
	if err != nil {
		h.t.Fatal(err)
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = hijacked.Conn.Close() })
	return &wireClient{t: h.t, frontend: hijacked.Frontend, processID: hijacked.PID, secretKey: hijacked.SecretKey, close: hijacked.Conn.Close}
}

func (c *wireClient) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, message := range messages {
		c.frontend.Send(message)
	}
	if err := c.frontend.Flush(); err != nil {
		c.t.Fatal(err)
	}
}

// receive returns the next message. Tokens are recorded and not returned.
func (c *wireClient) receive() (pgproto3.BackendMessage, error) {
	for {
		message, err := c.frontend.Receive()
		status, ok := message.(*pgproto3.ParameterStatus)
		if !ok || status.Name != settingToken {
			return message, err
		}
		c.token = status.Value
	}
}

// expect receives a message for each of the summaries and compares them.
func (c *wireClient) expect(wanted ...string) {
	c.t.Helper()
	for _, want := range wanted {
		message, err := c.receive()
		if err != nil {
			c.t.Fatalf("%v, want %s", err, want)
		}
		if got := summarize(message); got != want {
			c.t.Fatalf("got %s, want %s", got, want)
		}
	}
}

// summarize returns a short form of a message: its kind, with the transaction
// status, SQLSTATE, first value, command tag or parameter name.
func summarize(message pgproto3.BackendMessage) string {
	switch message := message.(type) {
	case *pgproto3.ReadyForQuery:
		return "ready " + string(message.TxStatus)
	case *pgproto3.ErrorResponse:
		return "error " + message.Code
	case *pgproto3.DataRow:
		return "row " + string(message.Values[0])
	case *pgproto3.CommandComplete:
		return "done " + string(message.CommandTag)
	case *pgproto3.ParameterStatus:
		return "status " + message.Name
	default:
		return fmt.Sprintf("%T", message)[len("*pgproto3."):]
	}
}

// bindExecute returns a Bind of the statement and an Execute, both with the
// unnamed portal.
func bindExecute(statement string, parameters ...string) []pgproto3.FrontendMessage {
	bind := &pgproto3.Bind{PreparedStatement: statement}
	for _, parameter := range parameters {
		bind.Parameters = append(bind.Parameters, []byte(parameter))
	}
	return []pgproto3.FrontendMessage{bind, &pgproto3.Execute{}}
}

const textOID = 25

// TestFlushAndErrorSkipping prepares a statement with a Flush, as some drivers
// do. After an error the messages up to the next Sync must be skipped.
func TestFlushAndErrorSkipping(t *testing.T) {
	client := newHarness(t).connectRaw(testKey, "")
	client.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'x'"}, &pgproto3.Describe{ObjectType: 'S', Name: "p"}, &pgproto3.Flush{})
	client.expect("ParseComplete", "ParameterDescription", "RowDescription")
	client.send(append(bindExecute("p"), &pgproto3.Sync{})...)
	client.expect("BindComplete", "row x", "done SELECT 1", "ready I")
	client.send(&pgproto3.Parse{Query: "no such statement"}, &pgproto3.Flush{})
	client.expect("error 42601")
	client.send(append(bindExecute("p"), &pgproto3.Flush{}, &pgproto3.Sync{})...)
	client.expect("ready I")
	client.send(&pgproto3.Query{String: "BEGIN"})
	client.expect("done BEGIN", "ready T")
	client.send(append(bindExecute("p"), &pgproto3.Flush{})...)
	client.expect("BindComplete", "row x", "done SELECT 1")
	client.send(&pgproto3.Sync{}, &pgproto3.Query{String: "COMMIT"})
	client.expect("ready T", "done COMMIT", "ready I")
}

// TestPipelinedWritesAreOneTransaction checks that the writes of one batch
// commit together, and that none commits when one fails.
func TestPipelinedWritesAreOneTransaction(t *testing.T) {
	h := newHarness(t)
	client := h.connectRaw(testKey, "")
	insert := &pgproto3.Parse{Name: "i", Query: "INSERT INTO kv VALUES ($1, $2)", ParameterOIDs: []uint32{textOID, textOID}}
	batch := []pgproto3.FrontendMessage{insert}
	batch = append(batch, bindExecute("i", "a", "1")...)
	batch = append(batch, bindExecute("i", "b", "2")...)
	client.send(append(batch, &pgproto3.Sync{})...)
	client.expect("ParseComplete", "BindComplete", "done INSERT 0 1", "BindComplete", "done INSERT 0 1", "ready I")
	batch = bindExecute("i", "c", "3")
	batch = append(batch, bindExecute("i", "a", "4")...)
	client.send(append(batch, &pgproto3.Sync{})...)
	client.expect("BindComplete", "done INSERT 0 1", "BindComplete", "error 23505", "ready I")
	client.send(&pgproto3.Query{String: "SELECT count(*) FROM kv"})
	client.expect("RowDescription", "row 2", "done SELECT 1", "ready I")
}

// TestPreparedStatementsFollowTheSession checks that a session can use its
// prepared statements on any target connection, until Close, DEALLOCATE or
// DISCARD.
// Drivers prepare the unnamed statement once and execute it again and again; each batch
// closes the portal. A batch that the instance answers itself must not remove the statement.
func TestCloseOfAPortalKeepsTheUnnamedStatement(t *testing.T) {
	h := newHarness(t)
	client := h.connectRaw(testKey, "")
	client.send(&pgproto3.Parse{Query: "SHOW samphirehitch.token"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Close{ObjectType: 'P'}, &pgproto3.Sync{})
	client.awaitReady()
	client.send(&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	client.awaitReady()
}

// awaitReady receives messages until ReadyForQuery. An error fails the test.
func (c *wireClient) awaitReady() {
	c.t.Helper()
	for {
		message, err := c.receive()
		if err != nil {
			c.t.Fatal(err)
		}
		switch message := message.(type) {
		case *pgproto3.ErrorResponse:
			c.t.Fatalf("%s: %s", message.Code, message.Message)
		case *pgproto3.ReadyForQuery:
			return
		}
	}
}

func TestPreparedStatementsFollowTheSession(t *testing.T) {
	h := newHarness(t)
	client := h.connectRaw(testKey, "")
	client.send(&pgproto3.Parse{Name: "p", Query: "SELECT samphirehitch_target()"}, &pgproto3.Sync{})
	client.expect("ParseComplete", "ready I")
	client.send(&pgproto3.Query{String: "BEGIN"})
	client.expect("done BEGIN", "ready T")
	client.send(append(bindExecute("p"), &pgproto3.Sync{})...)
	client.expect("BindComplete", "row t-1", "done SELECT 1", "ready T")
	client.send(&pgproto3.Query{String: "COMMIT"})
	client.expect("done COMMIT", "ready I")
	client.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'other'"}, &pgproto3.Sync{})
	client.expect("error 42P05", "ready I")
	client.send(&pgproto3.Close{ObjectType: 'S', Name: "p"}, &pgproto3.Parse{Name: "p", Query: "SELECT 'other'"}, &pgproto3.Sync{})
	client.expect("CloseComplete", "ParseComplete", "ready I")
	client.send(append(bindExecute("p"), &pgproto3.Sync{})...)
	client.expect("BindComplete", "row other", "done SELECT 1", "ready I")
	for _, query := range []string{"DEALLOCATE p", "DEALLOCATE ALL", "DISCARD ALL"} {
		client.send(&pgproto3.Query{String: query})
		client.skipToReady()
		client.send(append(bindExecute("p"), &pgproto3.Sync{})...)
		client.expect("error 26000", "ready I")
		client.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'other'"}, &pgproto3.Sync{})
		client.expect("ParseComplete", "ready I")
	}
}

// TestStatementNamesIsolatedBetweenSessions checks that two sessions that share
// target connections can use one name for different statements.
func TestStatementNamesIsolatedBetweenSessions(t *testing.T) {
	h := newHarness(t)
	first, second := h.connectRaw(testKey, ""), h.connectRaw("other", "")
	first.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'first'"}, &pgproto3.Sync{})
	first.expect("ParseComplete", "ready I")
	second.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'second'"}, &pgproto3.Sync{})
	second.expect("ParseComplete", "ready I")
	for range 4 {
		first.send(append(bindExecute("p"), &pgproto3.Sync{})...)
		first.expect("BindComplete", "row first", "done SELECT 1", "ready I")
		second.send(append(bindExecute("p"), &pgproto3.Sync{})...)
		second.expect("BindComplete", "row second", "done SELECT 1", "ready I")
	}
}

// TestPreparedStatementEviction checks that a session can use more prepared
// statements than a target connection keeps.
func TestPreparedStatementEviction(t *testing.T) {
	client := newHarness(t).connectRaw(testKey, "")
	for i := range 600 {
		name := fmt.Sprint("p", i)
		client.send(&pgproto3.Parse{Name: name, Query: fmt.Sprintf("SELECT '%d'", i)}, &pgproto3.Sync{})
		client.expect("ParseComplete", "ready I")
	}
	for _, i := range []int{0, 300, 599} {
		client.send(append(bindExecute(fmt.Sprint("p", i)), &pgproto3.Sync{})...)
		client.expect("BindComplete", fmt.Sprintf("row %d", i), "done SELECT 1", "ready I")
	}
}

// skipToReady receives up to the next ReadyForQuery.
func (c *wireClient) skipToReady() {
	c.t.Helper()
	for {
		message, err := c.receive()
		if err != nil {
			c.t.Fatal(err)
		}
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return
		}
	}
}
