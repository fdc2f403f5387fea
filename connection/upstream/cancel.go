package upstream

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// Cancel sends a cancel request for the running statement on a socket of its own
// and waits until the target has processed it, which the target shows by closing
// that socket. The connection is not reused for another session, since the request
// may take effect late and would then cancel a later statement.
func (c *Conn) Cancel(ctx context.Context) error {
	c.broken.Store(true)
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", c.config.Address)
	if err != nil {
		return eris.Wrapf(err, "dial target %s to cancel a statement", c.config.Target)
	}
	defer socket.Close()
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	requestSocket, err := negotiateTLS(c.config, socket)
	if err != nil {
		return eris.Wrapf(err, "cancel statement on target %s", c.config.Target)
	}
	request, err := (&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.cancelSecret}).Encode(nil)
	if err != nil {
		return eris.Wrapf(err, "cancel statement on target %s", c.config.Target)
	}
	if _, err := requestSocket.Write(request); err != nil {
		return eris.Wrapf(err, "cancel statement on target %s", c.config.Target)
	}
	var buffer [1]byte
	if _, err := requestSocket.Read(buffer[:]); err != nil && err != io.EOF {
		return eris.Wrapf(err, "cancel statement on target %s", c.config.Target)
	}
	return nil
}
