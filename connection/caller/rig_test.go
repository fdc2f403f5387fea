package caller

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/connection/floor"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

const (
	testKey    = "clerk"
	testSecret = "jute-and-roast"
)

// records holds one key and two routes.
type records struct {
	verifier  record.Verifier
	withdrawn atomic.Bool
}

func newRecords(t testing.TB) *records {
	prover, err := scram.SHA256.NewClient("", testSecret, "")
	if err != nil {
		t.Fatal(err)
	}
	factors := scram.KeyFactors{Salt: "salt-of-sixteen-", Iters: 4096}
	stored, err := prover.GetStoredCredentialsWithError(factors)
	if err != nil {
		t.Fatal(err)
	}
	return &records{verifier: record.Verifier{
		Iterations: factors.Iters, Salt: []byte(factors.Salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey,
	}}
}

// Key implements session.Directory.
func (r *records) Key(id topology.KeyID) (record.Key, bool) {
	key := record.Key{ID: testKey, Customer: "mill", Withdrawn: r.withdrawn.Load(), Verifier: r.verifier}
	return key, id == testKey
}

// Route implements session.Directory.
func (r *records) Route(database string) (record.Route, bool) {
	switch database {
	case "ledger":
		return record.Route{Database: database, Service: "s", Access: record.AccessKeyed}, true
	case "depot":
		return record.Route{Database: database, Service: "s", Access: record.AccessKeyed, Customers: []topology.CustomerID{"depot"}}, true
	case "open":
		return record.Route{Database: database, Service: "s", Access: record.AccessOpen, OpenCustomer: "public"}, true
	default:
		return record.Route{}, false
	}
}

// echo answers every request with its session's customer.
type echo struct{}

// Open implements Handler.
func (echo) Open(s *session.Session) Conversation { return &echoing{session: s} }

type echoing struct {
	session *session.Session
	open    bool
}

// Run opens a transaction when it is asked to and never ends it. It also gives
// answers without an end.
func (e *echoing) Run(_ context.Context, batch *Batch, port Port) error {
	e.open = e.open || batch.Query != nil && batch.Query.String == "BEGIN"
	if batch.Query != nil && batch.Query.String == "ENDLESS" {
		row, _ := (&pgproto3.DataRow{}).Encode(nil)
		for {
			if _, err := port.Write(row); err != nil {
				return err
			}
		}
	}
	answer, _ := (&pgproto3.CommandComplete{CommandTag: []byte(e.session.Customer)}).Encode(nil)
	answer, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(answer)
	_, err := port.Write(answer)
	return err
}

func (e *echoing) InTransaction() bool    { return e.open }
func (e *echoing) Cancel(context.Context) {}
func (e *echoing) Close()                 {}

func newTestServer(t testing.TB, config Config) (*Server, *records) {
	directory := newRecords(t)
	return New(config, Deps{
		Directory: func() session.Directory { return directory },
		Fresh:     func() error { return nil },
		Handler:   echo{},
		NewFloor:  func() session.Floor { return floor.New() },
		Logger:    logr.Discard(),
	}), directory
}

// testCaller is the caller's end of a connection in memory.
type testCaller struct {
	t        testing.TB
	socket   net.Conn
	frontend *pgproto3.Frontend
	// seen lists the kinds of the messages received, with SQLSTATEs.
	seen []string
}

// dial connects to the server.
func dial(t testing.TB, s *Server) *testCaller {
	near, far := net.Pipe()
	s.start(context.Background(), far)
	t.Cleanup(func() { _ = near.Close() })
	return &testCaller{t: t, socket: near, frontend: pgproto3.NewFrontend(near, near)}
}

// write sends bytes; the server may close before it has read all of them.
func (c *testCaller) write(raw []byte) { _, _ = c.socket.Write(raw) }

func (c *testCaller) receive() pgproto3.BackendMessage {
	message, err := c.frontend.Receive()
	if err != nil {
		c.seen = append(c.seen, "closed")
		return nil
	}
	text := fmt.Sprintf("%T", message)[len("*pgproto3."):]
	if refused, ok := message.(*pgproto3.ErrorResponse); ok {
		text = refused.Severity + " " + refused.Code
	}
	c.seen = append(c.seen, text)
	return message
}

func startup(user, database string, extra ...string) []byte {
	parameters := map[string]string{"user": user, "database": database}
	for i := 0; i < len(extra); i += 2 {
		parameters[extra[i]] = extra[i+1]
	}
	raw, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}).Encode(nil)
	return raw
}

// login proves the secret and returns the last message: ReadyForQuery, an error,
// or nil when the connection was closed.
func (c *testCaller) login(user, secret, database string, extra ...string) pgproto3.BackendMessage {
	c.write(startup(user, database, extra...))
	prover, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		c.t.Fatal(err)
	}
	proof := prover.NewConversation()
	for {
		message := c.receive()
		switch message := message.(type) {
		case *pgproto3.AuthenticationSASL:
			first, _ := proof.Step("")
			c.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			second, err := proof.Step(string(message.Data))
			if err != nil {
				c.t.Fatal(err)
			}
			c.frontend.Send(&pgproto3.SASLResponse{Data: []byte(second)})
		case nil, *pgproto3.ErrorResponse, *pgproto3.ReadyForQuery:
			return message
		}
		if err := c.frontend.Flush(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// ask sends a query and returns the answer's tag.
func (c *testCaller) ask() string {
	c.frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := c.frontend.Flush(); err != nil {
		c.t.Fatal(err)
	}
	complete, ok := c.receive().(*pgproto3.CommandComplete)
	if !ok {
		c.t.Fatalf("got %v", c.seen)
	}
	tag := string(bytes.Clone(complete.CommandTag))
	c.receive()
	return tag
}
