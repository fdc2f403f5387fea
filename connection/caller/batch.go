package caller

import (
	"errors"
	"io"
	"net"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxBatchMessages bounds the messages of one batch.
const maxBatchMessages = 100_000

// Batch is one request: a Query, or the messages of the extended query protocol
// up to a Sync or a Flush.
type Batch struct {
	// Query is set for the simple query protocol.
	Query *pgproto3.Query
	// Messages are those of the extended query protocol without the Sync or
	// Flush that ended them.
	Messages []pgproto3.FrontendMessage
	// Flush is set when a Flush ended the batch: the answer has no
	// ReadyForQuery and more messages follow.
	Flush bool
	// Bytes is the size of the messages.
	Bytes int
}

// errTerminated reports that the caller ended the session.
var errTerminated = errors.New("caller terminated the session")

// errBatchTooLarge reports a batch over the bounds.
var errBatchTooLarge = errors.New("request is too large")

// errUnexpectedMessage reports a message that has no place in a request.
var errUnexpectedMessage = errors.New("unexpected message")

// readBatch reads one batch.
func (w *wire) readBatch(maxBytes int) (*Batch, error) {
	batch := &Batch{}
	for {
		message, size, err := w.receive()
		if err != nil {
			return nil, err
		}
		batch.Bytes += size
		if batch.Bytes > maxBytes || len(batch.Messages) >= maxBatchMessages {
			return nil, errBatchTooLarge
		}
		switch message := message.(type) {
		case *pgproto3.Query:
			if len(batch.Messages) > 0 {
				return nil, errUnexpectedMessage
			}
			batch.Query = &pgproto3.Query{String: message.String}
			return batch, nil
		case *pgproto3.Sync:
			return batch, nil
		case *pgproto3.Flush:
			batch.Flush = true
			return batch, nil
		case *pgproto3.Terminate:
			return nil, errTerminated
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// The rest of a COPY that has failed.
		default:
			kept := keep(message)
			if kept == nil {
				return nil, errUnexpectedMessage
			}
			batch.Messages = append(batch.Messages, kept)
		}
	}
}

// keep copies a message of the extended query protocol out of the codec's
// buffer. It returns nil for other messages.
func keep(message pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch message := message.(type) {
	case *pgproto3.Parse:
		kept := *message
		kept.ParameterOIDs = slices.Clone(message.ParameterOIDs)
		return &kept
	case *pgproto3.Bind:
		return keepBind(message)
	case *pgproto3.Describe:
		kept := *message
		return &kept
	case *pgproto3.Execute:
		kept := *message
		return &kept
	case *pgproto3.Close:
		kept := *message
		return &kept
	default:
		return nil
	}
}

func keepBind(message *pgproto3.Bind) *pgproto3.Bind {
	kept := *message
	kept.ParameterFormatCodes = slices.Clone(message.ParameterFormatCodes)
	kept.ResultFormatCodes = slices.Clone(message.ResultFormatCodes)
	kept.Parameters = make([][]byte, len(message.Parameters))
	total := 0
	for _, parameter := range message.Parameters {
		total += len(parameter)
	}
	values := make([]byte, 0, total)
	for i, parameter := range message.Parameters {
		if parameter == nil {
			continue
		}
		start := len(values)
		values = append(values, parameter...)
		kept.Parameters[i] = values[start:len(values):len(values)]
	}
	return &kept
}

// isDisconnect reports whether reading failed because the socket did, not
// because of what the caller sent.
func isDisconnect(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}
