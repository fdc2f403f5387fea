// Package httpgroup accesses the control interface of database groups over HTTP with
// JSON bodies. It contains a client that implements platform.Groups, and a handler
// that serves one member over the same protocol.
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

// URL paths of the control interface.
const (
	pathStatus      = "/v1/status"
	pathFence       = "/v1/fence"
	pathPromote     = "/v1/promote"
	pathTransaction = "/v1/transaction"
)

// codeTermRefused is the error code of platform.ErrTermRefused on the wire.
const codeTermRefused httpjson.Code = "term_refused"

type statusRequest struct{}

type termRequest struct {
	Term topology.Term `json:"term"`
}

type transactionRequest struct {
	Transaction uint64 `json:"transaction"`
}

// Client calls the control addresses of targets. It implements platform.Groups and
// is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client { return &Client{http: httpjson.NewClient()} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call performs one call to a target and translates the refusal of a term.
func call[Req, Resp any](ctx context.Context, c *Client, target platform.Target, path string, request Req) (Resp, error) {
	response, err := httpjson.Call[Req, Resp](ctx, c.http, target.Control, path, request)
	if err == nil {
		return response, nil
	}
	var responseErr *httpjson.Error
	if errors.As(err, &responseErr) && responseErr.Code == codeTermRefused {
		return response, eris.Wrapf(platform.ErrTermRefused, "%s of target %s: %s", path, target.ID, responseErr.Message)
	}
	return response, eris.Wrapf(err, "target %s", target.ID)
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

// Member is a target whose control interface Handler serves. The methods have the
// semantics of those of platform.Groups.
type Member interface {
	Status(ctx context.Context) (topology.Status, error)
	Fence(ctx context.Context, term topology.Term) (topology.Status, error)
	Promote(ctx context.Context, term topology.Term) (topology.Status, error)
	TransactionStatus(ctx context.Context, transaction uint64) (platform.TransactionReport, error)
}

// Handler serves the control interface of member over the protocol that Client uses.
func Handler(member Member) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pathStatus, httpjson.Handle(statusAndCode, func(ctx context.Context, _ statusRequest) (topology.Status, error) {
		return member.Status(ctx)
	}))
	mux.Handle(pathFence, httpjson.Handle(statusAndCode, func(ctx context.Context, request termRequest) (topology.Status, error) {
		return member.Fence(ctx, request.Term)
	}))
	mux.Handle(pathPromote, httpjson.Handle(statusAndCode, func(ctx context.Context, request termRequest) (topology.Status, error) {
		return member.Promote(ctx, request.Term)
	}))
	mux.Handle(pathTransaction, httpjson.Handle(statusAndCode, func(ctx context.Context, request transactionRequest) (platform.TransactionReport, error) {
		return member.TransactionStatus(ctx, request.Transaction)
	}))
	return mux
}

// statusAndCode returns the HTTP status and error code for an error of a Member.
func statusAndCode(err error) (int, httpjson.Code) {
	if errors.Is(err, platform.ErrTermRefused) {
		return http.StatusConflict, codeTermRefused
	}
	return http.StatusServiceUnavailable, "unavailable"
}
