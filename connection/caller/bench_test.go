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

// BenchmarkIdleConnection reports the memory of a connection that has run a
// request and waits for the next one, heap and stacks, the caller's socket
// included.
func BenchmarkIdleConnection(b *testing.B) {
	for _, connections := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) { benchmarkIdle(b, connections) })
	}
}

func benchmarkIdle(b *testing.B, connections int) {
	// Later rounds reuse the stacks of the first.
	most := 0.0
	for b.Loop() {
		s, _ := newTestServer(b, Config{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = s.Serve(context.Background(), listener) }()
		before := memory()
		sockets := make([]net.Conn, connections)
		for i := range sockets {
			sockets[i] = idle(b, listener.Addr().String())
		}
		after := memory()
		most = max(most, float64(int64(after)-int64(before)))
		for _, socket := range sockets {
			_ = socket.Close()
		}
		if err := s.Drain(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(most/float64(connections), "B/connection")
	b.ReportMetric(most, "retained-B")
}

// memory returns the bytes in use by heap objects and stacks.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// idle logs in on an open route, runs a request and takes its answer.
func idle(b *testing.B, address string) net.Conn {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	request, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(startup("x", "open"))
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
