package caller

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Sizes of the parts of a message header, in bytes.
const (
	typeBytes   = 1
	lengthBytes = 4
)

// readBufferBytes is the size of the buffer between a caller's socket and the
// codec.
const readBufferBytes = 4096

// aheadBytes is how much of a request is read before a codec is borrowed.
const aheadBytes = 512

// frame hands the codec no more than one message at a time, so that between
// messages the codec holds nothing and can serve another connection.
type frame struct {
	reader *bufio.Reader
	// startup is set while messages have no type byte.
	startup   bool
	remaining int
	size      int
}

// Read returns bytes of the current message, or of the next one when the
// current one is complete.
func (f *frame) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		if err := f.begin(); err != nil {
			return 0, err
		}
	}
	n, err := f.reader.Read(p[:min(len(p), f.remaining)])
	f.remaining -= n
	return n, err
}

// begin looks at the next header. A length that is out of range is left to the
// codec, which refuses it on seeing the header.
func (f *frame) begin() error {
	headerBytes := typeBytes + lengthBytes
	if f.startup {
		headerBytes = lengthBytes
	}
	header, err := f.reader.Peek(headerBytes)
	if err != nil {
		if len(header) > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	length := int(int32(binary.BigEndian.Uint32(header[headerBytes-lengthBytes:])))
	f.remaining = max(headerBytes, headerBytes-lengthBytes+length)
	f.size = f.remaining
	return nil
}

// codec is the part of a connection that is only needed while messages are
// read or written. Idle connections have none.
type codec struct {
	socket  net.Conn
	pending []byte
	frame   frame
	backend *pgproto3.Backend
}

// Read returns the bytes that were read ahead, then those of the socket.
func (c *codec) Read(p []byte) (int, error) {
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		return n, nil
	}
	return c.socket.Read(p)
}

// Write sends to the socket.
func (c *codec) Write(p []byte) (int, error) { return c.socket.Write(p) }

var codecs = sync.Pool{New: func() any {
	c := &codec{}
	c.frame.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.backend = pgproto3.NewBackend(&c.frame, c)
	return c
}}

// wire is a caller's socket with the codec that it borrows.
type wire struct {
	socket          net.Conn
	codec           *codec
	maxMessageBytes int
	// ahead takes the beginning of a request, which is often all of it.
	ahead [aheadBytes]byte
}

// attach borrows a codec whose first bytes are those read ahead.
func (w *wire) attach(pending []byte) {
	if w.codec != nil {
		return
	}
	c := codecs.Get().(*codec)
	c.socket = w.socket
	c.pending = pending
	c.frame.startup = false
	c.backend.SetMaxBodyLen(w.maxMessageBytes)
	w.codec = c
}

// detach gives the codec back when it holds no unread bytes.
func (w *wire) detach() bool {
	c := w.codec
	if c == nil {
		return true
	}
	if c.frame.remaining > 0 || c.frame.reader.Buffered() > 0 || len(c.pending) > 0 {
		return false
	}
	c.socket = nil
	w.codec = nil
	codecs.Put(c)
	return true
}

// wait blocks until the next message begins, without holding a codec.
func (w *wire) wait() error {
	if !w.detach() {
		return nil
	}
	n, err := w.socket.Read(w.ahead[:])
	if n == 0 && err != nil {
		return err
	}
	w.attach(w.ahead[:n])
	return nil
}

// receive returns the next message, valid until the next call, and its size in
// bytes.
func (w *wire) receive() (pgproto3.FrontendMessage, int, error) {
	w.attach(nil)
	message, err := w.codec.backend.Receive()
	return message, w.codec.frame.size, err
}

// receiveStartup returns a message of the start-up phase.
func (w *wire) receiveStartup() (pgproto3.FrontendMessage, error) {
	w.attach(nil)
	w.codec.frame.startup = true
	message, err := w.codec.backend.ReceiveStartupMessage()
	w.codec.frame.startup = false
	return message, err
}

// send writes messages at once.
func (w *wire) send(messages ...pgproto3.BackendMessage) error {
	var encoded []byte
	for _, message := range messages {
		var err error
		if encoded, err = message.Encode(encoded); err != nil {
			return err
		}
	}
	_, err := w.socket.Write(encoded)
	return err
}
