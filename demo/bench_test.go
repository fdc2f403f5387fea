package demo

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
)

// benchmarkConnections is the number of callers' connections in the benchmarks.
const benchmarkConnections = 64

// unlimitedShape returns a deployment of one daemon and one service whose targets add no
// service time, bound no statements and admit every request, so that only the processor
// limits it.
func unlimitedShape() Shape {
	shape := Kuttanad()
	shape.Daemons, shape.Services = 1, 1
	shape.Slots, shape.Connections = 0, 1000
	shape.ServiceTime = 0
	shape.Rate, shape.Burst = 1e6, 1e6
	return shape
}

// startBenchmark runs a deployment that bounds the statements in flight in the daemon's
// pools but not at the targets.
func startBenchmark(b *testing.B) *Deployment {
	b.Helper()
	shape := unlimitedShape()
	shape.PoolSlots = benchmarkConnections
	d, err := Start(context.Background(), shape, logr.Discard())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	return d
}

// benchmarkLatency runs an operation concurrently on benchmarkConnections connections and
// reports the median and the 99th percentile of its latency.
func benchmarkLatency(b *testing.B, open func() (*pgx.Conn, error), operation func(*pgx.Conn) error) {
	b.Helper()
	var conns []*pgx.Conn
	for range benchmarkConnections {
		conn, err := open()
		for err != nil {
			time.Sleep(10 * time.Millisecond) // the deployment does not serve yet
			conn, err = open()
		}
		conns = append(conns, conn)
	}
	operations := make(chan struct{}, benchmarkConnections)
	histograms := make([]*hdrhistogram.Histogram, benchmarkConnections)
	var running sync.WaitGroup
	b.ResetTimer()
	for i, conn := range conns {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		running.Go(func() {
			for range operations {
				begin := time.Now()
				if err := operation(conn); err != nil {
					b.Error(err)
				}
				_ = histograms[i].RecordValue(int64(time.Since(begin)))
			}
		})
	}
	for range b.N {
		operations <- struct{}{}
	}
	close(operations)
	running.Wait()
	b.StopTimer()
	merged := hdrhistogram.New(1, int64(time.Minute), 3)
	for i, conn := range conns {
		merged.Merge(histograms[i])
		_ = conn.Close(context.Background())
	}
	b.ReportMetric(float64(merged.ValueAtQuantile(50))/1000, "p50-µs")
	b.ReportMetric(float64(merged.ValueAtQuantile(99))/1000, "p99-µs")
}

// readOnce runs a read that touches no table.
func readOnce(conn *pgx.Conn) error {
	var one int
	return conn.QueryRow(context.Background(), "SELECT 1").Scan(&one)
}

// writeOnce updates the row of its own connection, so that writes do not conflict.
func writeOnce(conn *pgx.Conn) error {
	_, err := conn.Exec(context.Background(), "UPDATE kv SET value = 'x' WHERE key = $1", fmt.Sprint(conn.PgConn().PID()))
	return err
}

func BenchmarkDirectRead(b *testing.B) {
	d := startBenchmark(b)
	address := d.Groups[0].Targets()[1].Address
	benchmarkLatency(b, func() (*pgx.Conn, error) { return d.connectTarget(address) }, readOnce)
}

func BenchmarkProxiedRead(b *testing.B) {
	d := startBenchmark(b)
	benchmarkLatency(b, func() (*pgx.Conn, error) { return pgx.Connect(context.Background(), d.ConnString(0, 0, 0)) }, readOnce)
}

func BenchmarkDirectWrite(b *testing.B) {
	d := startBenchmark(b)
	address := d.Groups[0].Targets()[0].Address
	benchmarkLatency(b, func() (*pgx.Conn, error) { return d.connectTarget(address) }, writeOnce)
}

func BenchmarkProxiedWrite(b *testing.B) {
	d := startBenchmark(b)
	benchmarkLatency(b, func() (*pgx.Conn, error) { return pgx.Connect(context.Background(), d.ConnString(0, 0, 0)) }, writeOnce)
}
