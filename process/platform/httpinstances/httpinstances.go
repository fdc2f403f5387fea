// Package httpinstances reads the platform's list of instances over HTTP with JSON
// bodies, and serves such a list over the same protocol.
package httpinstances

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpjson"
)

// Path is the URL path of the list.
const Path = "/v1/instances"

type listRequest struct{}

type listResponse struct {
	Instances []platform.Instance `json:"instances"`
}

// Client reads the list from one address. It implements platform.Instances and is
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

// Instances implements platform.Instances.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	response, err := httpjson.Call[listRequest, listResponse](ctx, c.http, c.address, Path, listRequest{})
	if err != nil {
		return nil, eris.Wrap(err, "read the list of instances")
	}
	return response.Instances, nil
}

// Handler serves the list. It must be registered at Path.
func Handler(instances platform.Instances) http.Handler {
	return httpjson.Handle(statusAndCode, func(ctx context.Context, _ listRequest) (listResponse, error) {
		list, err := instances.Instances(ctx)
		return listResponse{Instances: list}, err
	})
}

func statusAndCode(error) (int, httpjson.Code) {
	return http.StatusServiceUnavailable, "unavailable"
}
