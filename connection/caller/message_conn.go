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

// Sizes of the fields of a message header, in bytes.
const (
	headerTypeBytes   = 1
	headerLengthBytes = 4
)

// readBufferBytes is the size of a codec's read buffer.
const readBufferBytes = 4096

// readAheadBytes is how much of a request is read before a codec is acquired.
const readAheadBytes = 512

// messageReader limits what pgproto3 reads to one message at a time. Between
// messages pgproto3 then has no bytes buffered, so that the codec can be returned
// to the pool and serve another connection.
type messageReader struct {
	reader *bufio.Reader
	// startup is set during the startup phase, whose messages have no type byte.
	startup bool
	// remainingBytes is the unread part of the current message.
	remainingBytes int
	// messageBytes is the size of the current message with its header.
	messageBytes int
}

// Read returns bytes of the current message, or of the next one when the
// current one is complete.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.remainingBytes == 0 {
		if err := r.peekHeader(); err != nil {
			return 0, err
		}
	}
	n, err := r.reader.Read(p[:min(len(p), r.remainingBytes)])
	r.remainingBytes -= n
	return n, err
}

// peekHeader reads the size of the next message from its header without consuming
// it. An invalid length is left to pgproto3, which refuses it when it reads the
// header.
func (r *messageReader) peekHeader() error {
	headerBytes := headerTypeBytes + headerLengthBytes
	if r.startup {
		headerBytes = headerLengthBytes
	}
	header, err := r.reader.Peek(headerBytes)
	if err != nil {
		if len(header) > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	length := int(int32(binary.BigEndian.Uint32(header[headerBytes-headerLengthBytes:])))
	r.remainingBytes = max(headerBytes, headerBytes-headerLengthBytes+length)
	r.messageBytes = r.remainingBytes
	return nil
}

// codec decodes a connection's messages. It is pooled: a connection has one only
// while it serves a request, so that idle connections keep no buffers.
type codec struct {
	socket net.Conn
	// readAhead holds bytes that were read before the codec was acquired.
	readAhead []byte
	messages  messageReader
	backend   *pgproto3.Backend
}

// Read returns the bytes of readAhead, then those of the socket.
func (c *codec) Read(p []byte) (int, error) {
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		return n, nil
	}
	return c.socket.Read(p)
}

// Write sends to the socket.
func (c *codec) Write(p []byte) (int, error) { return c.socket.Write(p) }

var codecPool = sync.Pool{New: func() any {
	c := &codec{}
	c.messages.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.backend = pgproto3.NewBackend(&c.messages, c)
	return c
}}

// messageConn reads and writes messages on a caller's socket. It has a codec only
// from the start of a request until the wait for the next one. It is used by one
// goroutine at a time.
type messageConn struct {
	socket net.Conn
	// codec is nil while no codec is acquired.
	codec           *codec
	maxMessageBytes int
	// readAhead receives the first bytes of a request, which are often all of it.
	readAhead [readAheadBytes]byte
}

// acquireCodec takes a codec from the pool, unless the connection has one. The
// codec decodes the bytes of readAhead first.
func (m *messageConn) acquireCodec(readAhead []byte) {
	if m.codec != nil {
		return
	}
	c := codecPool.Get().(*codec)
	c.socket = m.socket
	c.readAhead = readAhead
	c.messages.startup = false
	c.backend.SetMaxBodyLen(m.maxMessageBytes)
	m.codec = c
}

// releaseCodec returns the codec to the pool. It returns false and keeps the codec
// if that holds unread bytes.
func (m *messageConn) releaseCodec() bool {
	c := m.codec
	if c == nil {
		return true
	}
	if c.messages.remainingBytes > 0 || c.messages.reader.Buffered() > 0 || len(c.readAhead) > 0 {
		return false
	}
	c.socket = nil
	m.codec = nil
	codecPool.Put(c)
	return true
}

// waitForMessage blocks until the next message begins. It holds no codec while it
// blocks.
func (m *messageConn) waitForMessage() error {
	if !m.releaseCodec() {
		return nil
	}
	n, err := m.socket.Read(m.readAhead[:])
	if n == 0 && err != nil {
		return err
	}
	m.acquireCodec(m.readAhead[:n])
	return nil
}

// receive returns the next message, valid until the next call, and its size in
// bytes.
func (m *messageConn) receive() (pgproto3.FrontendMessage, int, error) {
	m.acquireCodec(nil)
	message, err := m.codec.backend.Receive()
	return message, m.codec.messages.messageBytes, err
}

// receiveStartup returns the next message of the startup phase.
func (m *messageConn) receiveStartup() (pgproto3.FrontendMessage, error) {
	m.acquireCodec(nil)
	m.codec.messages.startup = true
	message, err := m.codec.backend.ReceiveStartupMessage()
	m.codec.messages.startup = false
	return message, err
}

// send encodes the messages and writes them to the socket in one call.
func (m *messageConn) send(messages ...pgproto3.BackendMessage) error {
	var encoded []byte
	for _, message := range messages {
		var err error
		if encoded, err = message.Encode(encoded); err != nil {
			return err
		}
	}
	_, err := m.socket.Write(encoded)
	return err
}
