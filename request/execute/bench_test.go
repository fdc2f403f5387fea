package execute

import (
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// BenchmarkReplicaRead compares a read through the proxy with the same read
// through a relay of bytes and without either.
func BenchmarkReplicaRead(b *testing.B) {
	h, targets := newFakeHarness(b, 4)
	b.Run("proxy", func(b *testing.B) {
		benchmarkRead(b, loginAt(b, h.address, "samphirehitch.max_age", "1h"))
	})
	b.Run("arrival floor", func(b *testing.B) { benchmarkRead(b, loginAt(b, h.address)) })
	b.Run("relay", func(b *testing.B) { benchmarkRead(b, loginAt(b, startByteProxy(b, targets.members[1].Address))) })
	b.Run("direct", func(b *testing.B) { benchmarkRead(b, loginAt(b, targets.members[1].Address)) })
}

func benchmarkRead(b *testing.B, client *wireClient) {
	b.ReportAllocs()
	for b.Loop() {
		client.send(queryMessage("SELECT 'x'"))
		client.skipToReady()
	}
}

// startByteProxy passes bytes to the address and back.
func startByteProxy(b *testing.B, address string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			clientSide, err := listener.Accept()
			if err != nil {
				return
			}
			targetSide, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(targetSide, clientSide); _ = targetSide.Close() }()
			go func() { _, _ = io.Copy(clientSide, targetSide); _ = clientSide.Close() }()
		}
	}()
	return listener.Addr().String()
}

// loginAt opens a session at the address, without a key.
func loginAt(b *testing.B, address string, extra ...string) *wireClient {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = socket.Close() })
	client := &wireClient{t: b, frontend: pgproto3.NewFrontend(socket, socket)}
	parameters := map[string]string{"user": testUser, "database": "open"}
	for i := 0; i < len(extra); i += 2 {
		parameters[extra[i]] = extra[i+1]
	}
	client.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	client.skipToReady()
	return client
}
