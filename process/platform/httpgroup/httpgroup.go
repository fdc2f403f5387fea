// Package httpgroup speaks HTTP and JSON with the control interface of database
// groups: a client that implements platform.Groups, and a handler that serves
// one member in the same shape.
package httpgroup

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Paths of the control interface.
const (
	pathStatus      = "/v1/status"
	pathFence       = "/v1/fence"
	pathPromote     = "/v1/promote"
	pathTransaction = "/v1/transaction"
)

const codeTermRefused httpjson.Code = "term_refused"

type statusRequest struct{}

type termRequest struct {
	Term topology.Term `json:"term"`
}

type transactionRequest struct {
	Transaction uint64 `json:"transaction"`
}

// Client calls the control addresses of targets. It implements platform.Groups.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client { return &Client{http: httpjson.NewClient()} }

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func call[Q, A any](ctx context.Context, c *Client, target platform.Target, path string, request Q) (A, error) {
	answer, err := httpjson.Call[Q, A](ctx, c.http, target.Control, path, request)
	if err == nil {
		return answer, nil
	}
	var answered *httpjson.Error
	if errors.As(err, &answered) && answered.Code == codeTermRefused {
		return answer, eris.Wrapf(platform.ErrTermRefused, "%s of target %s: %s", path, target.ID, answered.Message)
	}
	return answer, eris.Wrapf(err, "target %s", target.ID)
}

// Status implements platform.Groups.
func (c *Client) Status(ctx context.Context, target platform.Target) (topology.Status, error) {
	return call[statusRequest, topology.Status](ctx, c, target, pathStatus, statusRequest{})
}

// Fence implements platform.Groups.
func (c *Client) Fence(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	return call[termRequest, topology.Status](ctx, c, target, pathFence, termRequest{Term: term})
}

// Promote implements platform.Groups.
func (c *Client) Promote(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	return call[termRequest, topology.Status](ctx, c, target, pathPromote, termRequest{Term: term})
}

// TransactionStatus implements platform.Groups.
func (c *Client) TransactionStatus(ctx context.Context, target platform.Target, transaction uint64) (platform.TransactionReport, error) {
	return call[transactionRequest, platform.TransactionReport](ctx, c, target, pathTransaction, transactionRequest{Transaction: transaction})
}

// Member is one target as its control address serves it. The methods have the
// semantics of platform.Groups.
type Member interface {
	Status(ctx context.Context) (topology.Status, error)
	Fence(ctx context.Context, term topology.Term) (topology.Status, error)
	Promote(ctx context.Context, term topology.Term) (topology.Status, error)
	TransactionStatus(ctx context.Context, transaction uint64) (platform.TransactionReport, error)
}

// Handler serves member in the shape that Client calls.
func Handler(member Member) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pathStatus, httpjson.Handle(classify, func(ctx context.Context, _ statusRequest) (topology.Status, error) {
		return member.Status(ctx)
	}))
	mux.Handle(pathFence, httpjson.Handle(classify, func(ctx context.Context, q termRequest) (topology.Status, error) {
		return member.Fence(ctx, q.Term)
	}))
	mux.Handle(pathPromote, httpjson.Handle(classify, func(ctx context.Context, q termRequest) (topology.Status, error) {
		return member.Promote(ctx, q.Term)
	}))
	mux.Handle(pathTransaction, httpjson.Handle(classify, func(ctx context.Context, q transactionRequest) (platform.TransactionReport, error) {
		return member.TransactionStatus(ctx, q.Transaction)
	}))
	return mux
}

func classify(err error) (int, httpjson.Code) {
	if errors.Is(err, platform.ErrTermRefused) {
		return http.StatusConflict, codeTermRefused
	}
	return http.StatusServiceUnavailable, "unavailable"
}
