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

// Batch is one request: a Query of the simple query protocol, or the messages of
// the extended query protocol up to a Sync or a Flush.
type Batch struct {
	// Query is nil for the extended query protocol.
	Query *pgproto3.Query
	// Messages are those of the extended query protocol, without the final Sync
	// or Flush.
	Messages []pgproto3.FrontendMessage
	// Flush is set when a Flush ended the batch: the response then has no
	// ReadyForQuery and more messages follow.
	Flush bool
	// Bytes is the size of the messages with their headers.
	Bytes int
}

// errTerminated reports that the caller sent Terminate.
var errTerminated = errors.New("caller terminated the session")

// errBatchTooLarge reports a batch over MaxBatchBytes or maxBatchMessages.
var errBatchTooLarge = errors.New("request is too large")

// errUnexpectedMessage reports a message that the protocol does not allow at this
// point.
var errUnexpectedMessage = errors.New("unexpected message")

// readBatch reads one batch of at most maxBytes.
func (m *messageConn) readBatch(maxBytes int) (*Batch, error) {
	batch := &Batch{}
	for {
		message, size, err := m.receive()
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
			// After a COPY has failed, the caller may still send the rest of its data.
		default:
			clone := cloneMessage(message)
			if clone == nil {
				return nil, errUnexpectedMessage
			}
			batch.Messages = append(batch.Messages, clone)
		}
	}
}

// cloneMessage copies a message of the extended query protocol, since the codec
// reuses its memory. It returns nil for other messages.
func cloneMessage(message pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch message := message.(type) {
	case *pgproto3.Parse:
		clone := *message
		clone.ParameterOIDs = slices.Clone(message.ParameterOIDs)
		return &clone
	case *pgproto3.Bind:
		return cloneBind(message)
	case *pgproto3.Describe:
		clone := *message
		return &clone
	case *pgproto3.Execute:
		clone := *message
		return &clone
	case *pgproto3.Close:
		clone := *message
		return &clone
	default:
		return nil
	}
}

// cloneBind copies a Bind with all its parameter values in one allocation. NULL
// parameters stay nil.
func cloneBind(message *pgproto3.Bind) *pgproto3.Bind {
	clone := *message
	clone.ParameterFormatCodes = slices.Clone(message.ParameterFormatCodes)
	clone.ResultFormatCodes = slices.Clone(message.ResultFormatCodes)
	clone.Parameters = make([][]byte, len(message.Parameters))
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
		clone.Parameters[i] = values[start:len(values):len(values)]
	}
	return &clone
}

// isDisconnect reports whether a read failed because the connection did, rather
// than because of what the caller sent.
func isDisconnect(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}
