package e2e

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// readRestTimeout bounds the wait for the end of a connection that the daemon closes.
const readRestTimeout = 2 * time.Second

// messageHeaderBytes is the length of a message's type and length fields.
const messageHeaderBytes = 5

// terminateMessage is the message with which a client ends its connection.
var terminateMessage = []byte{'X', 0, 0, 0, 4}

// wireConn is a driver's connection to a daemon. It follows the messages that the daemon
// sends, so that the end of a connection can be judged apart from what the driver makes of it.
type wireConn struct {
	net.Conn

	mu      sync.Mutex
	pending []byte
	// loggedIn is set by the first ReadyForQuery, terminated by the client's Terminate, and
	// ended once the daemon has closed the connection.
	loggedIn, terminated, ended bool
	// lastError is the SQLSTATE of the last message, empty if that is no error response.
	lastError string
}

// dialWire opens a connection; drivers call it in place of their own dialer.
func dialWire(ctx context.Context, network, address string) (*wireConn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &wireConn{Conn: conn}, nil
}

// Read implements net.Conn.
func (w *wireConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.follow(p[:n])
	if err != nil && !isTimeout(err) {
		w.ended = true
	}
	return n, err
}

// Write implements net.Conn.
func (w *wireConn) Write(p []byte) (int, error) {
	if bytes.HasSuffix(p, terminateMessage) {
		w.mu.Lock()
		w.terminated = true
		w.mu.Unlock()
	}
	return w.Conn.Write(p)
}

// Close implements net.Conn. It reads first what the daemon has sent.
func (w *wireConn) Close() error {
	w.readRest()
	return w.Conn.Close()
}

// readRest reads until the daemon has closed the connection.
func (w *wireConn) readRest() {
	_ = w.SetReadDeadline(time.Now().Add(readRestTimeout)) // fails on a closed connection
	rest := make([]byte, 4096)
	for {
		if _, err := w.Read(rest); err != nil {
			return
		}
	}
}

// follow takes the complete messages of the bytes received so far.
func (w *wireConn) follow(received []byte) {
	w.pending = append(w.pending, received...)
	for len(w.pending) >= messageHeaderBytes {
		end := 1 + int(binary.BigEndian.Uint32(w.pending[1:]))
		if len(w.pending) < end {
			return
		}
		w.lastError = ""
		switch w.pending[0] {
		case 'Z':
			w.loggedIn = true
		case 'E':
			var response pgproto3.ErrorResponse
			if response.Decode(w.pending[messageHeaderBytes:end]) == nil {
				w.lastError = response.Code
			}
		}
		w.pending = w.pending[end:]
	}
}

// dismissed reports whether the last message was the announcement that the daemon stops.
func (w *wireConn) dismissed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastError == codeAdminShutdown
}

// cut reports whether the daemon closed the session without that announcement.
func (w *wireConn) cut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loggedIn && w.ended && !w.terminated && w.lastError != codeAdminShutdown
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
