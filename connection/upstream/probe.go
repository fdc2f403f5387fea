package upstream

import (
	"io"
	"syscall"

	"github.com/rotisserie/eris"
)

// Probe looks, without waiting, whether an idle connection can take a request of
// any session.
func (c *Conn) Probe() error {
	if !c.Reusable() {
		return &ProtocolError{c.config.Target, "connection is not at rest"}
	}
	return c.Quiet()
}

// Quiet looks, without waiting, whether the connection has been closed or has
// bytes that no request asked for. Both make it unfit for another request, also
// inside of a transaction.
func (c *Conn) Quiet() error {
	if c.owed != 0 || c.Buffered() {
		c.broken.Store(true)
		return &ProtocolError{c.config.Target, "connection is not at rest"}
	}
	socket, ok := c.plainSocket().(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return eris.Wrapf(err, "probe target %s", c.config.Target)
	}
	received, peekErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		received, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
	case peekErr == syscall.EAGAIN:
		return nil
	case peekErr != nil:
		err = peekErr
	case received == 0:
		err = io.EOF
	default:
		err = &ProtocolError{c.config.Target, "bytes without a request"}
	}
	c.broken.Store(true)
	return eris.Wrapf(err, "probe target %s", c.config.Target)
}
