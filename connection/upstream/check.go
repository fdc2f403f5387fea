package upstream

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

// CheckReusable checks, without blocking, that the connection can serve the next session:
// it is reusable and alive.
func (c *Conn) CheckReusable() error {
	if !c.Reusable() {
		return &ProtocolError{c.config.Target, "connection is not idle"}
	}
	return c.CheckAlive()
}

// CheckAlive checks, without blocking, that the target has neither closed the connection
// nor sent bytes outside a response. Otherwise the connection is marked broken: it
// cannot run another request, not even within its transaction.
func (c *Conn) CheckAlive() error {
	if !c.grammar.idle() || c.HasBufferedInput() {
		c.broken.Store(true)
		return &ProtocolError{c.config.Target, "connection is not idle"}
	}
	err := c.checkQuiet()
	if err == nil {
		return nil
	}
	c.broken.Store(true)
	return eris.Wrapf(err, "check connection to target %s", c.config.Target)
}

// checkQuiet checks that the socket is open and that nothing can be read from it.
func (c *Conn) checkQuiet() error {
	tlsConn, isTLS := c.socket.(*tls.Conn)
	if !isTLS {
		available, err := peek(c.socket)
		if available {
			err = &ProtocolError{c.config.Target, "bytes outside a response"}
		}
		return err
	}
	// TLS may hold records that it has read ahead, so it has to look for one itself.
	socket := tlsConn.NetConn().(*pollSocket)
	socket.polling, socket.polledBytes = true, 0
	var buffer [1]byte
	n, err := tlsConn.Read(buffer[:])
	socket.polling = false
	if n > 0 || socket.polledBytes > 0 {
		return &ProtocolError{c.config.Target, "bytes outside a response"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// pollSocket is the socket below TLS. While it is polled, Read returns what has arrived and
// does not wait for more.
type pollSocket struct {
	net.Conn
	polling bool
	// polledBytes counts the bytes that were read while polling.
	polledBytes int
}

// Read reads from the socket. While it is polled and nothing has arrived, it returns
// os.ErrDeadlineExceeded, after which TLS can go on.
func (s *pollSocket) Read(p []byte) (int, error) {
	if !s.polling {
		return s.Conn.Read(p)
	}
	if available, err := peek(s.Conn); err != nil || !available {
		if err == nil {
			err = os.ErrDeadlineExceeded
		}
		return 0, err
	}
	n, err := s.Conn.Read(p)
	s.polledBytes += n
	return n, err
}

// peek reports, without blocking, whether bytes can be read from the socket. It returns io.EOF
// if the other side has closed it.
func peek(socket net.Conn) (available bool, _ error) {
	systemConn, ok := socket.(syscall.Conn)
	if !ok {
		return false, nil
	}
	rawConn, err := systemConn.SyscallConn()
	if err != nil {
		return false, err
	}
	receivedBytes, peekErr := 0, error(nil)
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		receivedBytes, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, err
	case peekErr == syscall.EAGAIN:
		return false, nil
	case peekErr != nil:
		return false, peekErr
	case receivedBytes == 0:
		return false, io.EOF
	default:
		return true, nil
	}
}
