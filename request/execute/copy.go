package execute

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyFlushBytes is how much of the data of a COPY is gathered for one write.
const copyFlushBytes = 32 << 10

// errCopyBroken reports a caller that broke off the data of a COPY.
var errCopyBroken = errors.New("caller broke off a COPY")

// copyIn passes the data of a COPY FROM STDIN from the caller to the target.
func (b *body) copyIn(response *pgproto3.CopyInResponse) error {
	if err := b.flight.out.add(response); err != nil {
		return err
	}
	if err := b.flight.out.send(); err != nil {
		return err
	}
	gathered := 0
	for {
		message, err := b.flight.out.port.Receive()
		if err != nil {
			return &callerError{err}
		}
		switch message := message.(type) {
		case *pgproto3.CopyData:
			b.flight.conn.Send(message)
			gathered += len(message.Data)
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			b.flight.conn.Send(message)
			return b.flight.conn.Flush()
		case *pgproto3.Flush, *pgproto3.Sync:
			continue
		default:
			return &callerError{errCopyBroken}
		}
		if gathered < copyFlushBytes {
			continue
		}
		if err := b.flight.conn.Flush(); err != nil {
			return err
		}
		gathered = 0
	}
}
