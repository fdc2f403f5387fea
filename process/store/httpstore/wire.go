// Package httpstore speaks HTTP and JSON with the platform's key-value service:
// a client that implements store.Store, and a handler that serves any
// store.Store in the same shape.
package httpstore

import (
	"errors"
	"net/http"

	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/store"
)

// Paths of the service.
const (
	pathGet       = "/v1/get"
	pathList      = "/v1/list"
	pathSwap      = "/v1/swap"
	pathGrant     = "/v1/lease/grant"
	pathKeepAlive = "/v1/lease/keepalive"
	pathRevoke    = "/v1/lease/revoke"
	pathWatch     = "/v1/watch"
)

type getRequest struct {
	Key string `json:"key"`
}

type listRequest struct {
	Prefix string `json:"prefix"`
}

type swapAnswer struct {
	Revision store.Revision `json:"revision"`
}

type grantRequest struct {
	TTLMillis int64 `json:"ttl_millis"`
}

type leaseMessage struct {
	Lease store.LeaseID `json:"lease"`
}

type watchRequest struct {
	Prefix string         `json:"prefix"`
	After  store.Revision `json:"after"`
}

type watchAnswer struct {
	Changes  []store.Change `json:"changes"`
	Revision store.Revision `json:"revision"`
}

type emptyMessage struct{}

// codes maps the service's errors to the wire.
var codes = []struct {
	err    error
	status int
	code   httpjson.Code
}{
	{store.ErrNotFound, http.StatusNotFound, "not_found"},
	{store.ErrConflict, http.StatusConflict, "conflict"},
	{store.ErrLeaseExpired, http.StatusGone, "lease_expired"},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "unavailable"},
}

func classify(err error) (int, httpjson.Code) {
	for _, known := range codes {
		if errors.Is(err, known.err) {
			return known.status, known.code
		}
	}
	return http.StatusInternalServerError, httpjson.CodeInternal
}

// sentinel returns the service's error for what a call returned. Whatever is not
// a refusal of the service leaves the effect unknown.
func sentinel(err error) error {
	var answered *httpjson.Error
	if errors.As(err, &answered) {
		for _, known := range codes {
			if answered.Code == known.code {
				return known.err
			}
		}
	}
	return store.ErrUnavailable
}
