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

// StoreHandler serves the calls about s.
func StoreHandler(s *memstore.Store) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathStoreFaults, withoutResponse(s.SetFaults))
	handle(mux, pathStoreCounts, func(empty) (memstore.Counts, error) { return s.Counts(), nil })
	handle(mux, pathInstancePut, withoutResponse(s.PutInstance))
	handle(mux, pathInstanceRemove, withoutResponse(func(request instanceRequest) { s.RemoveInstance(request.Instance) }))
	handle(mux, pathInstanceLag, withoutResponse(func(request instanceLagRequest) {
		s.SetInstanceLag(time.Duration(request.LagMillis) * time.Millisecond)
	}))
	return mux
}

// StoreCaller calls a StoreHandler.
type StoreCaller struct {
	address string
	http    *http.Client
}

// NewStoreCaller returns a caller of the handler at address, host:port.
func NewStoreCaller(address string) *StoreCaller {
	return &StoreCaller{address: address, http: httpjson.NewClient()}
}

// SetFaults replaces the store's faults.
func (c *StoreCaller) SetFaults(ctx context.Context, faults memstore.Faults) error {
	_, err := httpjson.Call[memstore.Faults, empty](ctx, c.http, c.address, pathStoreFaults, faults)
	return eris.Wrap(err, "set the faults of the store")
}

// Counts returns the calls that the store has taken.
func (c *StoreCaller) Counts(ctx context.Context) (memstore.Counts, error) {
	counts, err := httpjson.Call[empty, memstore.Counts](ctx, c.http, c.address, pathStoreCounts, empty{})
	return counts, eris.Wrap(err, "read the counts of the store")
}

// PutInstance adds an instance to the list or replaces it.
func (c *StoreCaller) PutInstance(ctx context.Context, instance platform.Instance) error {
	_, err := httpjson.Call[platform.Instance, empty](ctx, c.http, c.address, pathInstancePut, instance)
	return eris.Wrapf(err, "list instance %s", instance.ID)
}

// RemoveInstance drops an instance from the list.
func (c *StoreCaller) RemoveInstance(ctx context.Context, id topology.InstanceID) error {
	_, err := httpjson.Call[instanceRequest, empty](ctx, c.http, c.address, pathInstanceRemove, instanceRequest{id})
	return eris.Wrapf(err, "remove instance %s", id)
}

// SetInstanceLag sets how long a change of the list stays invisible.
func (c *StoreCaller) SetInstanceLag(ctx context.Context, lag time.Duration) error {
	_, err := httpjson.Call[instanceLagRequest, empty](ctx, c.http, c.address, pathInstanceLag, instanceLagRequest{lag.Milliseconds()})
	return eris.Wrap(err, "set the lag of the list of instances")
}
