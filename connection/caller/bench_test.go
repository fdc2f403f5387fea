package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// BenchmarkIdleConnection reports the heap and stack memory of a connection that
// has run a request and waits for the next one, including the caller's socket.
func BenchmarkIdleConnection(b *testing.B) {
	for _, connections := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) { benchmarkIdleConnections(b, connections) })
	}
}

func benchmarkIdleConnections(b *testing.B, connections int) {
	// Later iterations reuse the stacks of the first and retain less, so the maximum
	// is reported.
	maxRetained := 0.0
	for b.Loop() {
		s, _ := newTestServer(b, Config{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = s.Serve(context.Background(), listener) }()
		baselineBytes := memoryInUse()
		sockets := make([]net.Conn, connections)
		for i := range sockets {
			sockets[i] = openIdleSession(b, listener.Addr().String())
		}
		retainedBytes := memoryInUse()
		maxRetained = max(maxRetained, float64(int64(retainedBytes)-int64(baselineBytes)))
		for _, socket := range sockets {
			_ = socket.Close()
		}
		if err := s.Drain(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(maxRetained/float64(connections), "B/connection")
	b.ReportMetric(maxRetained, "retained-B")
}

// memoryInUse returns the bytes in use by heap objects and stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// openIdleSession logs in on an open route, runs a request, reads its response and
// returns the socket.
func openIdleSession(b *testing.B, address string) net.Conn {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	request, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(startupMessage("x", "open"))
	if _, err := socket.Write(request); err != nil {
		b.Fatal(err)
	}
	for ready := 0; ready < 2; {
		var header [5]byte
		if _, err := io.ReadFull(socket, header[:]); err != nil {
			b.Fatal(err)
		}
		body := make([]byte, int(header[3])<<8|int(header[4])-4)
		if _, err := io.ReadFull(socket, body); err != nil {
			b.Fatal(err)
		}
		if header[0] == 'Z' {
			ready++
		}
	}
	return socket
}
