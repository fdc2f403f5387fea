package upstream

import (
	"io"
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
	socket, ok := c.tcpSocket().(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return eris.Wrapf(err, "check connection to target %s", c.config.Target)
	}
	receivedBytes, peekErr := 0, error(nil)
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		receivedBytes, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
	case peekErr == syscall.EAGAIN:
		return nil
	case peekErr != nil:
		err = peekErr
	case receivedBytes == 0:
		err = io.EOF
	default:
		err = &ProtocolError{c.config.Target, "bytes outside a response"}
	}
	c.broken.Store(true)
	return eris.Wrapf(err, "check connection to target %s", c.config.Target)
}
