package caller

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rawMessage encodes a message with the given type, length field and body, which
// need not match.
func rawMessage(kind byte, length uint32, body string) []byte {
	message := binary.BigEndian.AppendUint32([]byte{kind}, length)
	return append(message, body...)
}

// TestInvalidMessageClosesSession sends invalid or oversized messages after the
// login. The caller gets a fatal error and the connection is closed.
func TestInvalidMessageClosesSession(t *testing.T) {
	const violation, tooLarge = "FATAL 08P01", "FATAL 54000"
	for name, test := range map[string]struct {
		input []byte
		want  string
	}{
		"unknown type":     {rawMessage('?', 4, ""), violation},
		"length too small": {rawMessage('Q', 3, ""), violation},
		"negative length":  {rawMessage('Q', 0xffffffff, ""), violation},
		"oversized":        {rawMessage('Q', 5000, ""), tooLarge},
		"no terminator":    {rawMessage('Q', 6, "ab"), violation},
		"malformed Bind":   {rawMessage('B', 6, "\x00\x00"), violation},
		"password":         {rawMessage('p', 6, "x\x00"), violation},
		"function call":    {rawMessage('F', 14, "\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00"), violation},
		"query in a batch": {append(rawMessage('P', 8, "\x00\x00\x00\x00"), rawMessage('Q', 6, "x\x00")...), violation},
		"large batch":      {bytes.Repeat(rawMessage('D', 1000, "S"+strings.Repeat("x", 994)+"\x00"), 9), tooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newTestServer(t, Config{MaxMessageBytes: 1 << 10, MaxBatchBytes: 8 << 10})
			c := dial(t, s)
			c.login(testKey, testSecret, "ledger")
			go c.writeRaw(test.input)
			c.receive()
			if got := c.receivedKinds[len(c.receivedKinds)-1]; got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
			if c.receive() != nil {
				t.Error("the connection stays open")
			}
		})
	}
}

// TestTruncatedRequestIsDiscarded closes the connection after each byte of a login
// and request. The server must then still accept logins.
func TestTruncatedRequestIsDiscarded(t *testing.T) {
	s, _ := newTestServer(t, Config{})
	request, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(startupMessage(testKey, "open"))
	if err != nil {
		t.Fatal(err)
	}
	for length := range request {
		c := dial(t, s)
		go func() {
			c.writeRaw(request[:length])
			_ = c.socket.Close()
		}()
		for c.receive() != nil {
		}
	}
	c := dial(t, s)
	c.login(testKey, testSecret, "ledger")
	if got := c.runQuery(); got != "mill" {
		t.Errorf("got %q after truncated requests", got)
	}
}

// TestInvalidInputBeforeLogin sends messages that are not allowed before the login
// is complete. Each must get a fatal error and no session.
func TestInvalidInputBeforeLogin(t *testing.T) {
	query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ before, after []byte }{
		"query first":           {query, nil},
		"query instead of SASL": {startupMessage(testKey, "ledger"), query},
		"oversized SASL":        {startupMessage(testKey, "ledger"), rawMessage('p', 1<<20, "")},
		"unknown protocol":      {binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, 2<<16), nil},
		"oversized startup":     {[]byte{0, 1, 0, 0}, nil},
		"unterminated startup":  {[]byte{0, 0, 0, 9, 0, 3, 0, 0, 'x'}, nil},
		"four SSL requests":     {bytes.Repeat([]byte{0, 0, 0, 8, 4, 210, 22, 47}, 4), nil},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newTestServer(t, Config{})
			c := dial(t, s)
			go c.writeRaw(test.before)
			if test.after != nil {
				c.receive()
				go c.writeRaw(test.after)
			}
			response, _ := io.ReadAll(c.socket)
			if !bytes.Contains(response, []byte("FATAL")) {
				t.Errorf("response %q, want a fatal error", response)
			}
			if bytes.Contains(response, []byte{'Z', 0, 0, 0, 5}) {
				t.Errorf("response %q contains a ReadyForQuery", response)
			}
		})
	}
}

// bytesConn is a connection whose reads return the given bytes and whose writes
// are discarded.
type bytesConn struct {
	net.Conn
	reader *bytes.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)       { return c.reader.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *bytesConn) Close() error                     { return nil }
func (c *bytesConn) SetDeadline(time.Time) error      { return nil }
func (c *bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }
func (c *bytesConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// FuzzConnection serves a connection that sends arbitrary bytes. The server must
// neither panic nor hang.
func FuzzConnection(f *testing.F) {
	startup := startupMessage("x", "open")
	query, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	f.Add(append(startup, query...))
	f.Add(startupMessage(testKey, "ledger", "options", "-c samphirehitch.max_age=1s"))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add(append(startup, rawMessage('B', 12, "\x00\x00\x00\x01\x00\x01\xff\xff")...))
	s, _ := newTestServer(f, Config{MaxMessageBytes: 1 << 16, MaxBatchBytes: 1 << 16})
	f.Fuzz(func(t *testing.T, input []byte) {
		s.serve(t.Context(), &bytesConn{reader: bytes.NewReader(input)})
	})
}

// FuzzBatch reads batches from arbitrary bytes. Each must be within the limits and
// hold either a Query or other messages, or reading it must fail.
func FuzzBatch(f *testing.F) {
	f.Add(rawMessage('S', 4, ""))
	f.Add(append(rawMessage('P', 8, "\x00\x00\x00\x00"), rawMessage('S', 4, "")...))
	f.Add(rawMessage('Q', 6, "x\x00"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const maxBytes = 1 << 12
		conn := messageConn{socket: &bytesConn{reader: bytes.NewReader(input)}, maxMessageBytes: maxBytes}
		for {
			batch, err := conn.readBatch(maxBytes)
			if err != nil {
				if batch != nil {
					t.Error("got a batch together with an error")
				}
				return
			}
			if batch.Bytes > maxBytes || batch.Query != nil && len(batch.Messages) > 0 {
				t.Errorf("invalid batch %+v", batch)
			}
		}
	})
}

// TestDisconnectsAreNotViolations checks that a disconnected caller is not reported
// as one that violated the protocol.
func TestDisconnectsAreNotViolations(t *testing.T) {
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed} {
		if !isDisconnect(err) {
			t.Errorf("%v is not classified as a disconnect", err)
		}
	}
	if isDisconnect(errors.New("unknown message type")) {
		t.Error("a protocol violation is classified as a disconnect")
	}
}
