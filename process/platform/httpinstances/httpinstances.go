// Package httpinstances reads the platform's list of instances over HTTP and
// JSON, and serves one in the same shape.
package httpinstances

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpjson"
)

// Path is where the list is served.
const Path = "/v1/instances"

type listRequest struct{}

type listAnswer struct {
	Instances []platform.Instance `json:"instances"`
}

// Client reads the list at one address. It implements platform.Instances.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the service at address, host:port.
func New(address string) *Client {
	return &Client{address: address, http: httpjson.NewClient()}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Instances implements platform.Instances.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	answer, err := httpjson.Call[listRequest, listAnswer](ctx, c.http, c.address, Path, listRequest{})
	if err != nil {
		return nil, eris.Wrap(err, "read the list of instances")
	}
	return answer.Instances, nil
}

// Handler serves the list at Path.
func Handler(instances platform.Instances) http.Handler {
	return httpjson.Handle(classify, func(ctx context.Context, _ listRequest) (listAnswer, error) {
		list, err := instances.Instances(ctx)
		return listAnswer{Instances: list}, err
	})
}

func classify(error) (int, httpjson.Code) {
	return http.StatusServiceUnavailable, "unavailable"
}
