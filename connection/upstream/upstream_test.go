package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/connection/auth"
	"samphirehitch.example/samphirehitch/version/record"
)

const testPassword = "daemon-password"

// target is a server that runs one script for each connection.
func target(t *testing.T, serve func(socket net.Conn, backend *pgproto3.Backend)) Config {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				serve(socket, pgproto3.NewBackend(socket, socket))
			}()
		}
	}()
	return Config{Target: "t-1", Address: listener.Addr().String(), Database: "kv", User: "daemon", Password: testPassword}
}

func dial(t *testing.T, config Config) (*Conn, error) {
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	return Dial(ctx, config)
}

// greeting is what a target says that asks for no password.
func greeting(t testing.TB) []byte {
	var raw []byte
	for _, message := range []pgproto3.BackendMessage{
		&pgproto3.AuthenticationOk{}, &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
		&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte("abcd")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		var err error
		if raw, err = message.Encode(raw); err != nil {
			t.Fatal(err)
		}
	}
	return raw
}

// TestSCRAM logs in to a target that asks for a proof.
func TestSCRAM(t *testing.T) {
	prover, err := scram.SHA256.NewClient("", testPassword, "")
	if err != nil {
		t.Fatal(err)
	}
	factors := scram.KeyFactors{Salt: "salt-of-sixteen-", Iters: 4096}
	stored, err := prover.GetStoredCredentialsWithError(factors)
	if err != nil {
		t.Fatal(err)
	}
	verifier := record.Verifier{Iterations: 4096, Salt: []byte(factors.Salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}
	config := target(t, func(socket net.Conn, backend *pgproto3.Backend) {
		_, _ = backend.ReceiveStartupMessage()
		proof, _ := auth.New(nil).Begin("daemon", record.Key{Verifier: verifier}, true)
		backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}})
		_ = backend.Flush()
		_ = backend.SetAuthType(pgproto3.AuthTypeSASL)
		message, _ := backend.Receive()
		challenge, _ := proof.First(message.(*pgproto3.SASLInitialResponse).Data)
		backend.Send(&pgproto3.AuthenticationSASLContinue{Data: challenge})
		_ = backend.Flush()
		_ = backend.SetAuthType(pgproto3.AuthTypeSASLContinue)
		message, err := backend.Receive()
		if err != nil {
			return
		}
		signature, err := proof.Final(message.(*pgproto3.SASLResponse).Data)
		if err != nil {
			backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "no"})
			_ = backend.Flush()
			return
		}
		backend.Send(&pgproto3.AuthenticationSASLFinal{Data: signature})
		_ = backend.Flush()
		_, _ = socket.Write(greeting(t))
		_, _ = backend.Receive()
	})
	conn, err := dial(t, config)
	if err != nil {
		t.Fatal(err)
	}
	if !conn.Reusable() || conn.Probe() != nil {
		t.Error("a fresh connection is not reusable")
	}
	_ = conn.Close()
	config.Password = "wrong"
	_, err = dial(t, config)
	var refused *LoginError
	if !errors.As(err, &refused) || refused.Code != "28P01" {
		t.Errorf("got %v with a wrong password", err)
	}
}

// TestTruncatedLogin cuts the greeting at each byte.
func TestTruncatedLogin(t *testing.T) {
	whole := greeting(t)
	cut := make(chan int, 1)
	config := target(t, func(socket net.Conn, backend *pgproto3.Backend) {
		_, _ = backend.ReceiveStartupMessage()
		_, _ = socket.Write(whole[:<-cut])
	})
	for length := range whole {
		cut <- length
		if conn, err := dial(t, config); err == nil {
			t.Fatalf("logged in with %d of %d bytes: %v", length, len(whole), conn)
		}
	}
}

// TestProbe finds a connection that the target has closed or on which it has
// sent what nobody asked for.
func TestProbe(t *testing.T) {
	notice, err := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, unasked := range map[string][]byte{"closed": nil, "unasked bytes": notice} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			config := target(t, func(socket net.Conn, backend *pgproto3.Backend) {
				_, _ = backend.ReceiveStartupMessage()
				_, _ = socket.Write(greeting(t))
				<-proceed
				if unasked != nil {
					_, _ = socket.Write(unasked)
					_, _ = backend.Receive()
				}
			})
			conn, err := dial(t, config)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.Probe(); err != nil {
				t.Fatal(err)
			}
			close(proceed)
			for conn.Probe() == nil {
			}
			if conn.Reusable() {
				t.Error("the connection is reusable")
			}
		})
	}
}

// TestUnfinishedAnswerIsNotReused follows a connection through a request.
func TestUnfinishedAnswerIsNotReused(t *testing.T) {
	config := target(t, func(socket net.Conn, backend *pgproto3.Backend) {
		_, _ = backend.ReceiveStartupMessage()
		_, _ = socket.Write(greeting(t))
		for {
			if _, err := backend.Receive(); err != nil {
				return
			}
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			_ = backend.Flush()
		}
	})
	conn, err := dial(t, config)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := conn.Flush(); err != nil {
		t.Fatal(err)
	}
	if conn.Reusable() {
		t.Error("reusable before the answer")
	}
	for range 2 {
		if _, err := conn.Receive(); err != nil {
			t.Fatal(err)
		}
	}
	if !conn.Reusable() {
		t.Error("not reusable after the answer")
	}
	ctx, cancel := context.WithCancel(t.Context())
	stop := conn.InterruptAfter(ctx)
	cancel()
	stop()
	if conn.Reusable() {
		t.Error("reusable after an interruption")
	}
}
