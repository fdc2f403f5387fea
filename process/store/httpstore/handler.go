package httpstore

import (
	"context"
	"net/http"
	"time"

	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/store"
)

// Handler serves s over the protocol that Client uses.
func Handler(s store.Store) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathGet, func(ctx context.Context, request getRequest) (store.Entry, error) {
		return s.Get(ctx, request.Key)
	})
	handle(mux, pathList, func(ctx context.Context, request listRequest) (store.Listing, error) {
		return s.List(ctx, request.Prefix)
	})
	handle(mux, pathSwap, func(ctx context.Context, request store.Swap) (swapResponse, error) {
		revision, err := s.CompareAndSwap(ctx, request)
		return swapResponse{Revision: revision}, err
	})
	handle(mux, pathGrant, func(ctx context.Context, request grantRequest) (leaseMessage, error) {
		lease, err := s.Grant(ctx, time.Duration(request.TTLMillis)*time.Millisecond)
		return leaseMessage{Lease: lease}, err
	})
	handle(mux, pathKeepAlive, func(ctx context.Context, request leaseMessage) (emptyMessage, error) {
		return emptyMessage{}, s.KeepAlive(ctx, request.Lease)
	})
	handle(mux, pathRevoke, func(ctx context.Context, request leaseMessage) (emptyMessage, error) {
		return emptyMessage{}, s.Revoke(ctx, request.Lease)
	})
	handle(mux, pathWatch, func(ctx context.Context, request watchRequest) (watchResponse, error) {
		changes, revision, err := s.Watch(ctx, request.Prefix, request.After)
		return watchResponse{Changes: changes, Revision: revision}, err
	})
	return mux
}

func handle[Req, Resp any](mux *http.ServeMux, path string, fn func(context.Context, Req) (Resp, error)) {
	mux.Handle(path, httpjson.Handle(statusAndCode, fn))
}
