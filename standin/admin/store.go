package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

type instanceRequest struct {
	Instance topology.InstanceID `json:"instance"`
}

type instanceLagRequest struct {
	LagMillis int64 `json:"lag_millis"`
}

// StoreHandler serves the calls on the store and on its list of instances.
func StoreHandler(s *memstore.Store) http.Handler {
	mux := http.NewServeMux()
	handleCall(mux, pathStoreFaults, alwaysSucceeds(s.SetFaults))
	handleCall(mux, pathStoreCounts, func(emptyMessage) (memstore.Counts, error) { return s.Counts(), nil })
	handleCall(mux, pathInstancePut, alwaysSucceeds(s.PutInstance))
	handleCall(mux, pathInstanceRemove, alwaysSucceeds(func(request instanceRequest) { s.RemoveInstance(request.Instance) }))
	handleCall(mux, pathInstanceLag, alwaysSucceeds(func(request instanceLagRequest) {
		s.SetInstanceLag(time.Duration(request.LagMillis) * time.Millisecond)
	}))
	return mux
}

// StoreClient is a client of a StoreHandler.
type StoreClient struct {
	address string
	http    *http.Client
}

// NewStoreClient returns a client of the handler at address, host:port.
func NewStoreClient(address string) *StoreClient {
	return &StoreClient{address: address, http: httpjson.NewClient()}
}

// SetFaults replaces the store's faults.
func (c *StoreClient) SetFaults(ctx context.Context, faults memstore.Faults) error {
	_, err := httpjson.Call[memstore.Faults, emptyMessage](ctx, c.http, c.address, pathStoreFaults, faults)
	return eris.Wrap(err, "set the faults of the store")
}

// Counts returns the number of calls to the store so far, by kind.
func (c *StoreClient) Counts(ctx context.Context) (memstore.Counts, error) {
	counts, err := httpjson.Call[emptyMessage, memstore.Counts](ctx, c.http, c.address, pathStoreCounts, emptyMessage{})
	return counts, eris.Wrap(err, "read the counts of the store")
}

// PutInstance adds an instance to the list of instances or replaces it.
func (c *StoreClient) PutInstance(ctx context.Context, instance platform.Instance) error {
	_, err := httpjson.Call[platform.Instance, emptyMessage](ctx, c.http, c.address, pathInstancePut, instance)
	return eris.Wrapf(err, "put instance %s on the list", instance.ID)
}

// RemoveInstance removes an instance from the list of instances.
func (c *StoreClient) RemoveInstance(ctx context.Context, id topology.InstanceID) error {
	_, err := httpjson.Call[instanceRequest, emptyMessage](ctx, c.http, c.address, pathInstanceRemove, instanceRequest{id})
	return eris.Wrapf(err, "remove instance %s", id)
}

// SetInstanceLag sets the time after which readers of the list of instances see a
// change of it.
func (c *StoreClient) SetInstanceLag(ctx context.Context, lag time.Duration) error {
	_, err := httpjson.Call[instanceLagRequest, emptyMessage](ctx, c.http, c.address, pathInstanceLag, instanceLagRequest{lag.Milliseconds()})
	return eris.Wrap(err, "set the lag of the list of instances")
}
