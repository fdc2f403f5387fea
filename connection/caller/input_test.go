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

// raw makes a message of any type with any length in its header.
func raw(kind byte, length uint32, body string) []byte {
	message := binary.BigEndian.AppendUint32([]byte{kind}, length)
	return append(message, body...)
}

// TestBadInput sends broken messages after the login.
func TestBadInput(t *testing.T) {
	const violation, tooLarge = "FATAL 08P01", "FATAL 54000"
	for name, test := range map[string]struct {
		input []byte
		want  string
	}{
		"unknown type":     {raw('?', 4, ""), violation},
		"length too small": {raw('Q', 3, ""), violation},
		"negative length":  {raw('Q', 0xffffffff, ""), violation},
		"oversized":        {raw('Q', 5000, ""), tooLarge},
		"no terminator":    {raw('Q', 6, "ab"), violation},
		"broken Bind":      {raw('B', 6, "\x00\x00"), violation},
		"password":         {raw('p', 6, "x\x00"), violation},
		"function call":    {raw('F', 14, "\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00"), violation},
		"query in a batch": {append(raw('P', 8, "\x00\x00\x00\x00"), raw('Q', 6, "x\x00")...), violation},
		"large batch":      {bytes.Repeat(raw('D', 1000, "S"+strings.Repeat("x", 994)+"\x00"), 9), tooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newTestServer(t, Config{MaxMessageBytes: 1 << 10, MaxBatchBytes: 8 << 10})
			c := dial(t, s)
			c.login(testKey, testSecret, "ledger")
			go c.write(test.input)
			c.receive()
			if got := c.seen[len(c.seen)-1]; got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
			if c.receive() != nil {
				t.Error("the connection stays open")
			}
		})
	}
}

// TestTruncatedInput closes the connection at each byte of a request. The server
// goes on.
func TestTruncatedInput(t *testing.T) {
	s, _ := newTestServer(t, Config{})
	request, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(startup(testKey, "open"))
	if err != nil {
		t.Fatal(err)
	}
	for length := range request {
		c := dial(t, s)
		go func() {
			c.write(request[:length])
			_ = c.socket.Close()
		}()
		for c.receive() != nil {
		}
	}
	c := dial(t, s)
	c.login(testKey, testSecret, "ledger")
	if got := c.ask(); got != "mill" {
		t.Errorf("got %q after truncated requests", got)
	}
}

// TestBeforeLogin sends what has no place before the login.
func TestBeforeLogin(t *testing.T) {
	query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ before, after []byte }{
		"query first":            {query, nil},
		"query for the proof":    {startup(testKey, "ledger"), query},
		"long proof":             {startup(testKey, "ledger"), raw('p', 1<<20, "")},
		"unknown protocol":       {binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, 2<<16), nil},
		"long startup":           {[]byte{0, 1, 0, 0}, nil},
		"startup without end":    {[]byte{0, 0, 0, 9, 0, 3, 0, 0, 'x'}, nil},
		"encryption three times": {bytes.Repeat([]byte{0, 0, 0, 8, 4, 210, 22, 47}, 4), nil},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newTestServer(t, Config{})
			c := dial(t, s)
			go c.write(test.before)
			if test.after != nil {
				c.receive()
				go c.write(test.after)
			}
			answer, _ := io.ReadAll(c.socket)
			if !bytes.Contains(answer, []byte("FATAL")) {
				t.Errorf("answer %q, want a fatal error", answer)
			}
			if bytes.Contains(answer, []byte{'Z', 0, 0, 0, 5}) {
				t.Errorf("answer %q holds a ReadyForQuery", answer)
			}
		})
	}
}

// bytesConn is a connection that delivers given bytes and takes any.
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

// FuzzConnection gives a server any bytes on a new connection to an open route.
func FuzzConnection(f *testing.F) {
	opening := startup("x", "open")
	query, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	f.Add(append(opening, query...))
	f.Add(startup(testKey, "ledger", "options", "-c samphirehitch.max_age=1s"))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add(append(opening, raw('B', 12, "\x00\x00\x00\x01\x00\x01\xff\xff")...))
	s, _ := newTestServer(f, Config{MaxMessageBytes: 1 << 16, MaxBatchBytes: 1 << 16})
	f.Fuzz(func(t *testing.T, input []byte) {
		s.serve(t.Context(), &bytesConn{reader: bytes.NewReader(input)})
	})
}

// FuzzBatch checks that a batch is within its bounds, or an error.
func FuzzBatch(f *testing.F) {
	f.Add(raw('S', 4, ""))
	f.Add(append(raw('P', 8, "\x00\x00\x00\x00"), raw('S', 4, "")...))
	f.Add(raw('Q', 6, "x\x00"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const most = 1 << 12
		w := wire{socket: &bytesConn{reader: bytes.NewReader(input)}, maxMessageBytes: most}
		for {
			batch, err := w.readBatch(most)
			if err != nil {
				if batch != nil {
					t.Error("a batch with an error")
				}
				return
			}
			if batch.Bytes > most || batch.Query != nil && len(batch.Messages) > 0 {
				t.Errorf("batch %+v", batch)
			}
		}
	})
}

// TestDisconnectsAreNotViolations tells a lost caller from a broken message.
func TestDisconnectsAreNotViolations(t *testing.T) {
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed} {
		if !isDisconnect(err) {
			t.Errorf("%v is taken for a violation", err)
		}
	}
	if isDisconnect(errors.New("unknown message type")) {
		t.Error("a violation is taken for a disconnect")
	}
}
