package execute

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyFlushThresholdBytes is how much COPY data is queued before it is sent.
const copyFlushThresholdBytes = 32 << 10

// errCopyInterrupted reports that the caller sent a message of another kind in
// the midst of the data of a COPY.
var errCopyInterrupted = errors.New("caller interrupted the data of a COPY")

// forwardCopyData forwards the CopyInResponse to the caller, and then the
// caller's data to the target, up to the CopyDone or CopyFail.
func (e *batchExchange) forwardCopyData(response *pgproto3.CopyInResponse) error {
	if err := e.awaitFlush(); err != nil {
		return err
	}
	if err := e.pipeline.response.write(response); err != nil {
		return err
	}
	if err := e.pipeline.response.flush(); err != nil {
		return err
	}
	queuedBytes := 0
	for {
		message, err := e.pipeline.response.stream.Receive()
		if err != nil {
			return &callerError{err}
		}
		switch message := message.(type) {
		case *pgproto3.CopyData:
			e.pipeline.conn.Send(message)
			queuedBytes += len(message.Data)
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			e.pipeline.conn.Send(message)
			return e.pipeline.conn.Flush()
		case *pgproto3.Flush, *pgproto3.Sync:
			continue
		default:
			return &callerError{errCopyInterrupted}
		}
		if queuedBytes < copyFlushThresholdBytes {
			continue
		}
		if err := e.pipeline.conn.Flush(); err != nil {
			return err
		}
		queuedBytes = 0
	}
}
