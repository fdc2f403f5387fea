package upstream

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/connection/auth"
	"samphirehitch.example/samphirehitch/version/record"
)

const testPassword = "daemon-password"

// startTarget starts a server that runs serve for each connection, and returns the
// configuration to connect to it.
func startTarget(t *testing.T, serve func(socket net.Conn, backend *pgproto3.Backend)) Config {
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

// loginResponse encodes the messages with which a target accepts a login without
// authentication.
func loginResponse(t testing.TB) []byte {
	var encoded []byte
	for _, message := range []pgproto3.BackendMessage{
		&pgproto3.AuthenticationOk{}, &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
		&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte("abcd")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		var err error
		if encoded, err = message.Encode(encoded); err != nil {
			t.Fatal(err)
		}
	}
	return encoded
}

// TestSCRAMLogin logs in to a target that requires SCRAM-SHA-256, with the right
// and with a wrong password.
func TestSCRAMLogin(t *testing.T) {
	scramClient, err := scram.SHA256.NewClient("", testPassword, "")
	if err != nil {
		t.Fatal(err)
	}
	factors := scram.KeyFactors{Salt: "salt-of-sixteen-", Iters: 4096}
	stored, err := scramClient.GetStoredCredentialsWithError(factors)
	if err != nil {
		t.Fatal(err)
	}
	verifier := record.Verifier{Iterations: 4096, Salt: []byte(factors.Salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}
	config := startTarget(t, func(socket net.Conn, backend *pgproto3.Backend) {
		_, _ = backend.ReceiveStartupMessage()
		exchange, _ := auth.New(nil).NewExchange("daemon", record.Key{Verifier: verifier}, true)
		backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}})
		_ = backend.Flush()
		_ = backend.SetAuthType(pgproto3.AuthTypeSASL)
		message, _ := backend.Receive()
		challenge, _ := exchange.Challenge(message.(*pgproto3.SASLInitialResponse).Data)
		backend.Send(&pgproto3.AuthenticationSASLContinue{Data: challenge})
		_ = backend.Flush()
		_ = backend.SetAuthType(pgproto3.AuthTypeSASLContinue)
		message, err := backend.Receive()
		if err != nil {
			return
		}
		signature, err := exchange.Verify(message.(*pgproto3.SASLResponse).Data)
		if err != nil {
			backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "no"})
			_ = backend.Flush()
			return
		}
		backend.Send(&pgproto3.AuthenticationSASLFinal{Data: signature})
		_ = backend.Flush()
		_, _ = socket.Write(loginResponse(t))
		_, _ = backend.Receive()
	})
	conn, err := dial(t, config)
	if err != nil {
		t.Fatal(err)
	}
	if !conn.Reusable() || conn.CheckReusable() != nil {
		t.Error("a new connection is not reusable")
	}
	_ = conn.Close()
	config.Password = "wrong"
	_, err = dial(t, config)
	var loginError *LoginError
	if !errors.As(err, &loginError) || loginError.Code != "28P01" {
		t.Errorf("got %v with a wrong password", err)
	}
}

// TestTruncatedLoginFails truncates the target's login messages at each byte. None
// of these logins may succeed.
func TestTruncatedLoginFails(t *testing.T) {
	loginBytes := loginResponse(t)
	prefixLength := make(chan int, 1)
	config := startTarget(t, func(socket net.Conn, backend *pgproto3.Backend) {
		_, _ = backend.ReceiveStartupMessage()
		_, _ = socket.Write(loginBytes[:<-prefixLength])
	})
	for length := range loginBytes {
		prefixLength <- length
		if conn, err := dial(t, config); err == nil {
			t.Fatalf("logged in with %d of %d bytes: %v", length, len(loginBytes), conn)
		}
	}
}

// TestUnusableConnectionIsDetected checks that a connection is found unusable after
// the target has closed it or sent a message outside a response.
func TestUnusableConnectionIsDetected(t *testing.T) {
	unexpectedReady, err := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, unexpected := range map[string][]byte{"closed": nil, "unexpected message": unexpectedReady} {
		t.Run(name, func(t *testing.T) {
			breakConnection := make(chan struct{})
			config := startTarget(t, func(socket net.Conn, backend *pgproto3.Backend) {
				_, _ = backend.ReceiveStartupMessage()
				_, _ = socket.Write(loginResponse(t))
				<-breakConnection
				if unexpected != nil {
					_, _ = socket.Write(unexpected)
					_, _ = backend.Receive()
				}
			})
			conn, err := dial(t, config)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.CheckReusable(); err != nil {
				t.Fatal(err)
			}
			close(breakConnection)
			for conn.CheckReusable() == nil {
			}
			if conn.Reusable() {
				t.Error("the connection is reusable")
			}
		})
	}
}

// TestConnectionIsReusableOnlyAfterCompleteResponse checks a connection before and
// after the response to its request, and after an interruption.
func TestConnectionIsReusableOnlyAfterCompleteResponse(t *testing.T) {
	config := startTarget(t, func(socket net.Conn, backend *pgproto3.Backend) {
		_, _ = backend.ReceiveStartupMessage()
		_, _ = socket.Write(loginResponse(t))
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
		t.Error("reusable before the response")
	}
	for range 2 {
		if _, err := conn.Receive(); err != nil {
			t.Fatal(err)
		}
	}
	if !conn.Reusable() {
		t.Error("not reusable after the response")
	}
	ctx, cancel := context.WithCancel(t.Context())
	stop := conn.InterruptOnDone(ctx)
	cancel()
	stop()
	if conn.Reusable() {
		t.Error("reusable after an interruption")
	}
}

// Guards against a check that a connection over TLS passes although the target has closed it
// or has sent a response too many.
func TestUnusableTLSConnectionIsDetected(t *testing.T) {
	certificate := newCertificate(t)
	for name, extra := range map[string]string{"closed": "", "response too many": done + readyIdle} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			config := startTarget(t, func(socket net.Conn, _ *pgproto3.Backend) {
				var request [8]byte
				_, _ = io.ReadFull(socket, request[:])
				_, _ = socket.Write([]byte("S"))
				server := tls.Server(socket, &tls.Config{Certificates: []tls.Certificate{certificate}})
				_, _ = pgproto3.NewBackend(server, server).ReceiveStartupMessage()
				_, _ = server.Write([]byte(loginOK))
				<-proceed
				if extra == "" {
					return
				}
				_, _ = server.Write([]byte(extra))
				_, _ = server.Read(request[:])
			})
			config.TLS = &tls.Config{InsecureSkipVerify: true}
			conn, err := dial(t, config)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for range 3 {
				if err := conn.CheckReusable(); err != nil {
					t.Fatal(err)
				}
			}
			close(proceed)
			for conn.CheckReusable() == nil {
			}
			if conn.Reusable() {
				t.Error("the connection is reusable")
			}
		})
	}
}

// newCertificate returns a self-signed certificate.
func newCertificate(t *testing.T) tls.Certificate {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0)}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: private}
}
