package execute

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/process/topology"
)

// script is a connection on which a test sends any messages.
type script struct {
	t        testing.TB
	frontend *pgproto3.Frontend
	process  uint32
	secret   []byte
	close    func() error
	// token is the last that the server sent.
	token string
}

func (r *rig) script(key topology.KeyID, extra string) *script {
	r.t.Helper()
	conn, err := pgconn.Connect(r.t.Context(), r.dsn(key, testSecret, "ledger", extra))
	if err != nil {
		r.t.Fatal(err)
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = hijacked.Conn.Close() })
	return &script{t: r.t, frontend: hijacked.Frontend, process: hijacked.PID, secret: hijacked.SecretKey, close: hijacked.Conn.Close}
}

func (s *script) send(messages ...pgproto3.FrontendMessage) {
	s.t.Helper()
	for _, message := range messages {
		s.frontend.Send(message)
	}
	if err := s.frontend.Flush(); err != nil {
		s.t.Fatal(err)
	}
}

// receive returns the next message and takes tokens aside.
func (s *script) receive() (pgproto3.BackendMessage, error) {
	for {
		message, err := s.frontend.Receive()
		status, ok := message.(*pgproto3.ParameterStatus)
		if !ok || status.Name != settingToken {
			return message, err
		}
		s.token = status.Value
	}
}

// want receives messages and compares their kinds, with SQLSTATEs, first values
// and statuses.
func (s *script) want(wanted ...string) {
	s.t.Helper()
	for _, want := range wanted {
		message, err := s.receive()
		if err != nil {
			s.t.Fatalf("%v, want %s", err, want)
		}
		if got := describe(message); got != want {
			s.t.Fatalf("got %s, want %s", got, want)
		}
	}
}

func describe(message pgproto3.BackendMessage) string {
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

func bindExecute(statement string, parameters ...string) []pgproto3.FrontendMessage {
	bind := &pgproto3.Bind{PreparedStatement: statement}
	for _, parameter := range parameters {
		bind.Parameters = append(bind.Parameters, []byte(parameter))
	}
	return []pgproto3.FrontendMessage{bind, &pgproto3.Execute{}}
}

const textOID = 25

// TestFlush prepares with a Flush, as some drivers do, and skips to the Sync
// after an error.
func TestFlush(t *testing.T) {
	s := newRig(t).script(testKey, "")
	s.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'x'"}, &pgproto3.Describe{ObjectType: 'S', Name: "p"}, &pgproto3.Flush{})
	s.want("ParseComplete", "ParameterDescription", "RowDescription")
	s.send(append(bindExecute("p"), &pgproto3.Sync{})...)
	s.want("BindComplete", "row x", "done SELECT 1", "ready I")
	s.send(&pgproto3.Parse{Query: "no such statement"}, &pgproto3.Flush{})
	s.want("error 42601")
	s.send(append(bindExecute("p"), &pgproto3.Flush{}, &pgproto3.Sync{})...)
	s.want("ready I")
	s.send(&pgproto3.Query{String: "BEGIN"})
	s.want("done BEGIN", "ready T")
	s.send(append(bindExecute("p"), &pgproto3.Flush{})...)
	s.want("BindComplete", "row x", "done SELECT 1")
	s.send(&pgproto3.Sync{}, &pgproto3.Query{String: "COMMIT"})
	s.want("ready T", "done COMMIT", "ready I")
}

// TestPipeline runs a batch of several writes as one transaction.
func TestPipeline(t *testing.T) {
	r := newRig(t)
	s := r.script(testKey, "")
	insert := &pgproto3.Parse{Name: "i", Query: "INSERT INTO kv VALUES ($1, $2)", ParameterOIDs: []uint32{textOID, textOID}}
	batch := []pgproto3.FrontendMessage{insert}
	batch = append(batch, bindExecute("i", "a", "1")...)
	batch = append(batch, bindExecute("i", "b", "2")...)
	s.send(append(batch, &pgproto3.Sync{})...)
	s.want("ParseComplete", "BindComplete", "done INSERT 0 1", "BindComplete", "done INSERT 0 1", "ready I")
	batch = bindExecute("i", "c", "3")
	batch = append(batch, bindExecute("i", "a", "4")...)
	s.send(append(batch, &pgproto3.Sync{})...)
	s.want("BindComplete", "done INSERT 0 1", "BindComplete", "error 23505", "ready I")
	s.send(&pgproto3.Query{String: "SELECT count(*) FROM kv"})
	s.want("RowDescription", "row 2", "done SELECT 1", "ready I")
}

// TestPreparedStatements follows names over connections, transactions, Close,
// DEALLOCATE and DISCARD.
func TestPreparedStatements(t *testing.T) {
	r := newRig(t)
	s := r.script(testKey, "")
	s.send(&pgproto3.Parse{Name: "p", Query: "SELECT samphirehitch_target()"}, &pgproto3.Sync{})
	s.want("ParseComplete", "ready I")
	s.send(&pgproto3.Query{String: "BEGIN"})
	s.want("done BEGIN", "ready T")
	s.send(append(bindExecute("p"), &pgproto3.Sync{})...)
	s.want("BindComplete", "row t-1", "done SELECT 1", "ready T")
	s.send(&pgproto3.Query{String: "COMMIT"})
	s.want("done COMMIT", "ready I")
	s.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'other'"}, &pgproto3.Sync{})
	s.want("error 42P05", "ready I")
	s.send(&pgproto3.Close{ObjectType: 'S', Name: "p"}, &pgproto3.Parse{Name: "p", Query: "SELECT 'other'"}, &pgproto3.Sync{})
	s.want("CloseComplete", "ParseComplete", "ready I")
	s.send(append(bindExecute("p"), &pgproto3.Sync{})...)
	s.want("BindComplete", "row other", "done SELECT 1", "ready I")
	for _, end := range []string{"DEALLOCATE p", "DEALLOCATE ALL", "DISCARD ALL"} {
		s.send(&pgproto3.Query{String: end})
		s.skipToReady()
		s.send(append(bindExecute("p"), &pgproto3.Sync{})...)
		s.want("error 26000", "ready I")
		s.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'other'"}, &pgproto3.Sync{})
		s.want("ParseComplete", "ready I")
	}
}

// TestStatementsOfOneNameStayApart prepares one name for different texts in two
// sessions that share target connections.
func TestStatementsOfOneNameStayApart(t *testing.T) {
	r := newRig(t)
	first, second := r.script(testKey, ""), r.script("other", "")
	first.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'first'"}, &pgproto3.Sync{})
	first.want("ParseComplete", "ready I")
	second.send(&pgproto3.Parse{Name: "p", Query: "SELECT 'second'"}, &pgproto3.Sync{})
	second.want("ParseComplete", "ready I")
	for range 4 {
		first.send(append(bindExecute("p"), &pgproto3.Sync{})...)
		first.want("BindComplete", "row first", "done SELECT 1", "ready I")
		second.send(append(bindExecute("p"), &pgproto3.Sync{})...)
		second.want("BindComplete", "row second", "done SELECT 1", "ready I")
	}
}

// TestEviction prepares more statements than a target connection keeps.
func TestEviction(t *testing.T) {
	s := newRig(t).script(testKey, "")
	for i := range 600 {
		name := fmt.Sprint("p", i)
		s.send(&pgproto3.Parse{Name: name, Query: fmt.Sprintf("SELECT '%d'", i)}, &pgproto3.Sync{})
		s.want("ParseComplete", "ready I")
	}
	for _, i := range []int{0, 300, 599} {
		s.send(append(bindExecute(fmt.Sprint("p", i)), &pgproto3.Sync{})...)
		s.want("BindComplete", fmt.Sprintf("row %d", i), "done SELECT 1", "ready I")
	}
}

// skipToReady receives up to the next ReadyForQuery.
func (s *script) skipToReady() {
	s.t.Helper()
	for {
		message, err := s.receive()
		if err != nil {
			s.t.Fatal(err)
		}
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return
		}
	}
}
