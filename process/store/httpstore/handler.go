package httpstore

import (
	"context"
	"net/http"
	"time"

	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/store"
)

// Handler serves s in the shape that Client calls.
func Handler(s store.Store) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathGet, func(ctx context.Context, q getRequest) (store.Entry, error) {
		return s.Get(ctx, q.Key)
	})
	handle(mux, pathList, func(ctx context.Context, q listRequest) (store.Listing, error) {
		return s.List(ctx, q.Prefix)
	})
	handle(mux, pathSwap, func(ctx context.Context, q store.Swap) (swapAnswer, error) {
		revision, err := s.CompareAndSwap(ctx, q)
		return swapAnswer{Revision: revision}, err
	})
	handle(mux, pathGrant, func(ctx context.Context, q grantRequest) (leaseMessage, error) {
		lease, err := s.Grant(ctx, time.Duration(q.TTLMillis)*time.Millisecond)
		return leaseMessage{Lease: lease}, err
	})
	handle(mux, pathKeepAlive, func(ctx context.Context, q leaseMessage) (emptyMessage, error) {
		return emptyMessage{}, s.KeepAlive(ctx, q.Lease)
	})
	handle(mux, pathRevoke, func(ctx context.Context, q leaseMessage) (emptyMessage, error) {
		return emptyMessage{}, s.Revoke(ctx, q.Lease)
	})
	handle(mux, pathWatch, func(ctx context.Context, q watchRequest) (watchAnswer, error) {
		changes, revision, err := s.Watch(ctx, q.Prefix, q.After)
		return watchAnswer{Changes: changes, Revision: revision}, err
	})
	return mux
}

func handle[Q, A any](mux *http.ServeMux, path string, fn func(context.Context, Q) (A, error)) {
	mux.Handle(path, httpjson.Handle(classify, fn))
}
