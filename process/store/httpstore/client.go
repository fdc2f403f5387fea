package httpstore

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/store"
)

// Client is a store.Store that calls the key-value service at one address. It is
// safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the service at address (host:port).
func New(address string) *Client {
	return &Client{address: address, http: httpjson.NewClient()}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call performs one call and translates its error into one of package store.
func call[Req, Resp any](ctx context.Context, c *Client, path string, request Req) (Resp, error) {
	response, err := httpjson.Call[Req, Resp](ctx, c.http, c.address, path, request)
	if err != nil {
		return response, eris.Wrap(storeError(err), err.Error())
	}
	return response, nil
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return call[getRequest, store.Entry](ctx, c, pathGet, getRequest{Key: key})
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) (store.Listing, error) {
	return call[listRequest, store.Listing](ctx, c, pathList, listRequest{Prefix: prefix})
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	response, err := call[store.Swap, swapResponse](ctx, c, pathSwap, swap)
	return response.Revision, err
}

// Grant implements store.Store. The ttl is rounded down to milliseconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	response, err := call[grantRequest, leaseMessage](ctx, c, pathGrant, grantRequest{TTLMillis: ttl.Milliseconds()})
	return response.Lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	_, err := call[leaseMessage, emptyMessage](ctx, c, pathKeepAlive, leaseMessage{Lease: lease})
	return err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := call[leaseMessage, emptyMessage](ctx, c, pathRevoke, leaseMessage{Lease: lease})
	return err
}

// Watch implements store.Store with a long poll.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Change, store.Revision, error) {
	response, err := call[watchRequest, watchResponse](ctx, c, pathWatch, watchRequest{Prefix: prefix, After: after})
	return response.Changes, response.Revision, err
}
