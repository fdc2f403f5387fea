package upstream

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// Cancel asks the target to stop the running statement and waits until the
// target has taken the request, which it shows by closing the connection. The
// connection isn't used for another session afterwards, since the target may
// act on the request late.
func (c *Conn) Cancel(ctx context.Context) error {
	c.broken.Store(true)
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", c.config.Address)
	if err != nil {
		return eris.Wrapf(err, "dial target %s to cancel", c.config.Target)
	}
	defer socket.Close()
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	secured, err := startTLS(c.config, socket)
	if err != nil {
		return eris.Wrapf(err, "cancel on target %s", c.config.Target)
	}
	request, err := (&pgproto3.CancelRequest{ProcessID: c.process, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return eris.Wrapf(err, "cancel on target %s", c.config.Target)
	}
	if _, err := secured.Write(request); err != nil {
		return eris.Wrapf(err, "cancel on target %s", c.config.Target)
	}
	var end [1]byte
	if _, err := secured.Read(end[:]); err != nil && err != io.EOF {
		return eris.Wrapf(err, "cancel on target %s", c.config.Target)
	}
	return nil
}

// plainSocket returns the socket under the connection, or nil under TLS, where
// records of the transport itself may wait to be read.
func (c *Conn) plainSocket() net.Conn {
	if _, secured := c.net.(*tls.Conn); secured {
		return nil
	}
	return c.net
}
