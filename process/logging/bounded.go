package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a Bounded writer.
const (
	// boundedBytes is what may wait to be written: some seconds of a busy daemon.
	boundedBytes = 512 << 10
	// flushInterval is how long lines wait to be written together.
	flushInterval = 50 * time.Millisecond
)

// Bounded collects lines and writes them in the background, so that a slow
// reader of the log never holds the process up. Lines that do not fit are
// dropped and counted.
type Bounded struct {
	out     io.Writer
	dropped atomic.Uint64
	wake    chan struct{}

	mu     sync.Mutex
	lines  []byte
	spare  []byte
	closed bool
	done   chan struct{}
}

// NewBounded returns a writer that writes to out until Close.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write keeps a line. It never blocks and always reports success.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.lines)+len(line) > boundedBytes {
		b.dropped.Add(1)
		return len(line), nil
	}
	if len(b.lines) == 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	b.lines = append(b.lines, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(flushInterval)
		b.flush()
	}
	b.flush()
}

func (b *Bounded) flush() {
	b.mu.Lock()
	lines := b.lines
	b.lines = b.spare[:0]
	b.mu.Unlock()
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // there is nowhere to report a failing log
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}

// Close writes what is left.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.wake)
	}
	b.mu.Unlock()
	<-b.done
}
