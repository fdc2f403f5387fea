package execute

import (
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// BenchmarkReplicaRead compares a read through the proxy, with and without an
// arrival floor, with the same read through a byte proxy and directly on the
// target.
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

// startByteProxy starts a proxy that copies bytes between its connections and
// the address, and returns its own address.
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

// loginAt opens a session without a key at the address. extra are names and
// values of startup parameters.
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
