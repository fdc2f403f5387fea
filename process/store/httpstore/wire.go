// Package httpstore accesses the platform's key-value service over HTTP with JSON
// bodies. It contains a client that implements store.Store, and a handler that
// serves any store.Store over the same protocol.
package httpstore

import (
	"errors"
	"net/http"

	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/store"
)

// URL paths of the service.
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

type swapResponse struct {
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

type watchResponse struct {
	Changes  []store.Change `json:"changes"`
	Revision store.Revision `json:"revision"`
}

type emptyMessage struct{}

// errorMappings maps the errors of package store to HTTP statuses and error codes.
var errorMappings = []struct {
	err    error
	status int
	code   httpjson.Code
}{
	{store.ErrNotFound, http.StatusNotFound, "not_found"},
	{store.ErrConflict, http.StatusConflict, "conflict"},
	{store.ErrLeaseExpired, http.StatusGone, "lease_expired"},
	{store.ErrHistoryDiscarded, http.StatusGone, "history_discarded"},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "unavailable"},
}

// statusAndCode returns the HTTP status and error code for an error of the store.
func statusAndCode(err error) (int, httpjson.Code) {
	for _, mapping := range errorMappings {
		if errors.Is(err, mapping.err) {
			return mapping.status, mapping.code
		}
	}
	return http.StatusInternalServerError, httpjson.CodeInternal
}

// storeError returns the error of package store for the error of a call. Errors
// without a known code map to store.ErrUnavailable, because the call may or may not
// have taken effect.
func storeError(err error) error {
	var responseErr *httpjson.Error
	if errors.As(err, &responseErr) {
		for _, mapping := range errorMappings {
			if responseErr.Code == mapping.code {
				return mapping.err
			}
		}
	}
	return store.ErrUnavailable
}
