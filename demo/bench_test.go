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

// benchConnections is the number of callers' connections in the benchmarks.
const benchConnections = 64

// openShape is a deployment whose targets are limited by nothing but the
// machine.
func openShape() Shape {
	shape := Kuttanad()
	shape.Daemons, shape.Services = 1, 1
	shape.Slots, shape.Connections = 0, 1000
	shape.ServiceTime = 0
	shape.Rate, shape.Burst = 1e6, 1e6
	return shape
}

// startBench runs a deployment with slots for the pools but none at the targets.
func startBench(b *testing.B) *Deployment {
	b.Helper()
	shape := openShape()
	shape.PoolSlots = benchConnections
	d, err := Start(context.Background(), shape, logr.Discard())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	return d
}

// measure runs an operation on many connections and reports its median and its
// 99th percentile.
func measure(b *testing.B, open func() (*pgx.Conn, error), operate func(*pgx.Conn) error) {
	b.Helper()
	var conns []*pgx.Conn
	for range benchConnections {
		conn, err := open()
		for err != nil {
			time.Sleep(10 * time.Millisecond) // until the deployment serves; not measured
			conn, err = open()
		}
		conns = append(conns, conn)
	}
	work := make(chan struct{}, benchConnections)
	histograms := make([]*hdrhistogram.Histogram, benchConnections)
	var running sync.WaitGroup
	b.ResetTimer()
	for i, conn := range conns {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		running.Go(func() {
			for range work {
				begin := time.Now()
				if err := operate(conn); err != nil {
					b.Error(err)
				}
				_ = histograms[i].RecordValue(int64(time.Since(begin)))
			}
		})
	}
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	running.Wait()
	b.StopTimer()
	all := hdrhistogram.New(1, int64(time.Minute), 3)
	for i, conn := range conns {
		all.Merge(histograms[i])
		_ = conn.Close(context.Background())
	}
	b.ReportMetric(float64(all.ValueAtQuantile(50))/1000, "p50-µs")
	b.ReportMetric(float64(all.ValueAtQuantile(99))/1000, "p99-µs")
}

func readOnce(conn *pgx.Conn) error {
	var one int
	return conn.QueryRow(context.Background(), "SELECT 1").Scan(&one)
}

// writeOnce updates a row that no other connection updates.
func writeOnce(conn *pgx.Conn) error {
	_, err := conn.Exec(context.Background(), "UPDATE kv SET value = 'x' WHERE key = $1", fmt.Sprint(conn.PgConn().PID()))
	return err
}

func BenchmarkReadStraightToTheTarget(b *testing.B) {
	d := startBench(b)
	address := d.Groups[0].Targets()[1].Address
	measure(b, func() (*pgx.Conn, error) { return d.connectTarget(address) }, readOnce)
}

func BenchmarkReadThroughTheDaemon(b *testing.B) {
	d := startBench(b)
	measure(b, func() (*pgx.Conn, error) { return pgx.Connect(context.Background(), d.ConnString(0, 0, 0)) }, readOnce)
}

func BenchmarkWriteStraightToThePrimary(b *testing.B) {
	d := startBench(b)
	address := d.Groups[0].Targets()[0].Address
	measure(b, func() (*pgx.Conn, error) { return d.connectTarget(address) }, writeOnce)
}

func BenchmarkWriteThroughTheDaemon(b *testing.B) {
	d := startBench(b)
	measure(b, func() (*pgx.Conn, error) { return pgx.Connect(context.Background(), d.ConnString(0, 0, 0)) }, writeOnce)
}
