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

// testDirectory is a configuration with one key and three routes: two for keys, of
// which one is not open to the key's customer, and an open one.
type testDirectory struct {
	verifier  record.Verifier
	withdrawn atomic.Bool
}

func newTestDirectory(t testing.TB) *testDirectory {
	scramClient, err := scram.SHA256.NewClient("", testSecret, "")
	if err != nil {
		t.Fatal(err)
	}
	factors := scram.KeyFactors{Salt: "salt-of-sixteen-", Iters: 4096}
	stored, err := scramClient.GetStoredCredentialsWithError(factors)
	if err != nil {
		t.Fatal(err)
	}
	return &testDirectory{verifier: record.Verifier{
		Iterations: factors.Iters, Salt: []byte(factors.Salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey,
	}}
}

// Key implements session.Directory.
func (d *testDirectory) Key(id topology.KeyID) (record.Key, bool) {
	key := record.Key{ID: testKey, Customer: "mill", Withdrawn: d.withdrawn.Load(), Verifier: d.verifier}
	return key, id == testKey
}

// Route implements session.Directory.
func (d *testDirectory) Route(database string) (record.Route, bool) {
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

// customerEchoHandler responds to every request with the customer of its session
// as the command tag.
type customerEchoHandler struct{}

// NewSession implements Handler.
func (customerEchoHandler) NewSession(s *session.Session) Session {
	return &customerEchoSession{session: s}
}

type customerEchoSession struct {
	session       *session.Session
	inTransaction bool
}

// Run treats two queries specially: BEGIN opens a transaction that stays open, and
// ENDLESS gets rows until a write fails.
func (e *customerEchoSession) Run(_ context.Context, batch *Batch, stream MessageStream) error {
	e.inTransaction = e.inTransaction || batch.Query != nil && batch.Query.String == "BEGIN"
	if batch.Query != nil && batch.Query.String == "ENDLESS" {
		row, _ := (&pgproto3.DataRow{}).Encode(nil)
		for {
			if _, err := stream.Write(row); err != nil {
				return err
			}
		}
	}
	response, _ := (&pgproto3.CommandComplete{CommandTag: []byte(e.session.Customer)}).Encode(nil)
	response, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(response)
	_, err := stream.Write(response)
	return err
}

func (e *customerEchoSession) InTransaction() bool    { return e.inTransaction }
func (e *customerEchoSession) Cancel(context.Context) {}
func (e *customerEchoSession) Abandon()               {}
func (e *customerEchoSession) Close()                 {}

func newTestServer(t testing.TB, config Config) (*Server, *testDirectory) {
	directory := newTestDirectory(t)
	return New(config, Deps{
		Directory:  func() session.Directory { return directory },
		CheckFresh: func() error { return nil },
		Handler:    customerEchoHandler{},
		NewFloor:   func() session.Floor { return floor.New() },
		Logger:     logr.Discard(),
	}), directory
}

// testCaller is the caller's side of an in-memory connection.
type testCaller struct {
	t        testing.TB
	socket   net.Conn
	frontend *pgproto3.Frontend
	// receivedKinds lists the received messages: for an error its severity and
	// SQLSTATE, for others the message type. "closed" stands for a failed read.
	receivedKinds []string
}

// dial opens an in-memory connection to the server.
func dial(t testing.TB, s *Server) *testCaller {
	callerSide, serverSide := net.Pipe()
	s.startServing(context.Background(), serverSide)
	t.Cleanup(func() { _ = callerSide.Close() })
	return &testCaller{t: t, socket: callerSide, frontend: pgproto3.NewFrontend(callerSide, callerSide)}
}

// writeRaw sends bytes. It ignores errors, since the server may close the
// connection before it has read all of them.
func (c *testCaller) writeRaw(encoded []byte) { _, _ = c.socket.Write(encoded) }

// receive returns the next message, or nil if the connection was closed.
func (c *testCaller) receive() pgproto3.BackendMessage {
	message, err := c.frontend.Receive()
	if err != nil {
		c.receivedKinds = append(c.receivedKinds, "closed")
		return nil
	}
	description := fmt.Sprintf("%T", message)[len("*pgproto3."):]
	if errorResponse, ok := message.(*pgproto3.ErrorResponse); ok {
		description = errorResponse.Severity + " " + errorResponse.Code
	}
	c.receivedKinds = append(c.receivedKinds, description)
	return message
}

// startupMessage encodes a startup message. Extra parameters are names and values
// in turn.
func startupMessage(user, database string, extraParameters ...string) []byte {
	parameters := map[string]string{"user": user, "database": database}
	for i := 0; i < len(extraParameters); i += 2 {
		parameters[extraParameters[i]] = extraParameters[i+1]
	}
	encoded, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}).Encode(nil)
	return encoded
}

// login authenticates with the secret and returns the last message received:
// ReadyForQuery, an error, or nil when the connection was closed.
func (c *testCaller) login(user, secret, database string, extraParameters ...string) pgproto3.BackendMessage {
	c.writeRaw(startupMessage(user, database, extraParameters...))
	scramClient, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		c.t.Fatal(err)
	}
	conversation := scramClient.NewConversation()
	for {
		message := c.receive()
		switch message := message.(type) {
		case *pgproto3.AuthenticationSASL:
			initialResponse, _ := conversation.Step("")
			c.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(initialResponse)})
		case *pgproto3.AuthenticationSASLContinue:
			finalResponse, err := conversation.Step(string(message.Data))
			if err != nil {
				c.t.Fatal(err)
			}
			c.frontend.Send(&pgproto3.SASLResponse{Data: []byte(finalResponse)})
		case nil, *pgproto3.ErrorResponse, *pgproto3.ReadyForQuery:
			return message
		}
		if err := c.frontend.Flush(); err != nil {
			c.t.Fatal(err)
		}
	}
}

// runQuery sends a query and returns the command tag of the response.
func (c *testCaller) runQuery() string {
	c.frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := c.frontend.Flush(); err != nil {
		c.t.Fatal(err)
	}
	complete, ok := c.receive().(*pgproto3.CommandComplete)
	if !ok {
		c.t.Fatalf("got %v", c.receivedKinds)
	}
	tag := string(bytes.Clone(complete.CommandTag))
	c.receive()
	return tag
}
