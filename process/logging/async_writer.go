package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes limits the lines that wait to be written. It holds the output of
	// a busy daemon for some seconds.
	maxBufferedBytes = 512 << 10
	// flushInterval is how long lines are collected before they are written together.
	flushInterval = 50 * time.Millisecond
)

// AsyncWriter buffers log lines and writes them in the background, so that a slow
// consumer of the log never blocks the process. Lines that exceed the buffer are
// dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	destination io.Writer
	dropped     atomic.Uint64
	// wake signals that lines are pending. Close closes it.
	wake chan struct{}

	mu sync.Mutex
	// pending holds the lines that wait to be written.
	pending []byte
	// spare is the buffer of the last flush, which the next one reuses.
	spare  []byte
	closed bool
	// done is closed when the last lines have been written.
	done chan struct{}
}

// NewAsyncWriter returns a writer that writes to destination until Close.
func NewAsyncWriter(destination io.Writer) *AsyncWriter {
	w := &AsyncWriter{destination: destination, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it when the buffer is full or the writer is closed. It
// never blocks on the destination and always reports success.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxBufferedBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	if len(w.pending) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// run writes pending lines until Close.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushInterval)
		w.flush()
	}
	w.flush()
}

// flush writes the pending lines. It swaps the buffers, so that lines can be buffered
// during the write.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.destination.Write(lines) // an error of the log cannot be logged
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// Close writes the pending lines and stops the writer.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	<-w.done
}
