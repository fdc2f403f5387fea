// Package httpjson implements typed remote calls as HTTP POST requests with JSON
// bodies. The adapters to the platform's services are built on it.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Code identifies an error on the wire.
type Code string

// Codes that are common to all services.
const (
	CodeBadRequest Code = "bad_request"
	CodeInternal   Code = "internal"
)

// Error is an error response from the server. Address is the server's address, Path the
// path of the call and Status the HTTP status.
type Error struct {
	Address string `json:"-"`
	Path    string `json:"-"`
	Status  int    `json:"-"`
	Code    Code   `json:"error"`
	Message string `json:"message"`
}

// Error formats the error response with the path and the server's address.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: status %d %s: %s", e.Path, e.Address, e.Status, e.Code, e.Message)
}

// maxBodyBytes limits the size of a request or response body. A listing contains many
// values of the key-value service, and base64 enlarges each by a third.
const maxBodyBytes = 256 << 20

// maxIdleConnectionsPerHost limits the idle connections of a client to each server.
const maxIdleConnectionsPerHost = 64

// NewClient returns an HTTP client for Call. It sets no timeout of its own; deadlines
// come from the contexts of the calls.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Call posts request to the path at address (host:port) and decodes the response. It
// returns *Error when the server responded with an error. With any other error no
// usable response arrived, and the call may or may not have taken effect.
func Call[Req, Resp any](ctx context.Context, client *http.Client, address, path string, request Req) (Resp, error) {
	var response Resp
	body, err := json.Marshal(request)
	if err != nil {
		return response, eris.Wrapf(err, "encode %s for %s", path, address)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return response, eris.Wrapf(err, "build request %s to %s", path, address)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		return response, eris.Wrapf(err, "call %s at %s", path, address)
	}
	defer httpResponse.Body.Close()
	return decodeResponse[Resp](httpResponse, address, path)
}

func decodeResponse[Resp any](httpResponse *http.Response, address, path string) (Resp, error) {
	var response Resp
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBodyBytes))
	if err != nil {
		return response, eris.Wrapf(err, "read response to %s from %s", path, address)
	}
	if httpResponse.StatusCode != http.StatusOK {
		responseErr := &Error{Address: address, Path: path, Status: httpResponse.StatusCode, Code: CodeInternal}
		if json.Unmarshal(body, responseErr) != nil {
			responseErr.Message = "response is not JSON"
		}
		return response, responseErr
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return response, eris.Wrapf(err, "decode response to %s from %s", path, address)
	}
	return response, nil
}

// ErrorClassifier maps an error of a service to its HTTP status and error code.
type ErrorClassifier func(error) (status int, code Code)

// Handle returns a handler that decodes the requests of one path, passes them to serve
// and encodes the responses.
func Handle[Req, Resp any](classify ErrorClassifier, serve func(context.Context, Req) (Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			writeError(w, http.StatusMethodNotAllowed, CodeBadRequest, "use POST")
			return
		}
		var request Req
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil && len(body) > 0 {
			err = json.Unmarshal(body, &request)
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, CodeBadRequest, err.Error())
			return
		}
		response, err := serve(r.Context(), request)
		if err != nil {
			status, code := classify(err)
			writeError(w, status, code, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

func writeError(w http.ResponseWriter, status int, code Code, message string) {
	writeJSON(w, status, Error{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails when the client has disconnected, which the server notices at the
	// next read of the connection.
	_ = json.NewEncoder(w).Encode(body)
}
