// Package httpjson carries typed calls as HTTP POST requests with JSON bodies.
// It serves the adapters of the platform's services and knows none of them.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Code names an error on the wire.
type Code string

// Codes that belong to no particular service.
const (
	CodeBadRequest Code = "bad_request"
	CodeInternal   Code = "internal"
)

// Error is an error answer of the peer.
type Error struct {
	Peer    string `json:"-"`
	Path    string `json:"-"`
	Status  int    `json:"-"`
	Code    Code   `json:"error"`
	Message string `json:"message"`
}

// Error describes the answer with the step and the peer.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: status %d %s: %s", e.Path, e.Peer, e.Status, e.Code, e.Message)
}

// maxBodyBytes bounds a body in either direction. A value of the key-value
// service grows by a third in base64, and a listing holds many.
const maxBodyBytes = 256 << 20

// idleConnections is how many idle connections a client keeps to each peer.
const idleConnections = 64

// NewClient returns an HTTP client fit for Call. Deadlines come from contexts.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Call posts request to the path at address (host:port) and decodes the answer.
// It returns *Error when the peer answered with an error, and another error when
// no answer came; then the effect is unknown.
func Call[Q, A any](ctx context.Context, client *http.Client, address, path string, request Q) (A, error) {
	var answer A
	body, err := json.Marshal(request)
	if err != nil {
		return answer, eris.Wrapf(err, "encode %s for %s", path, address)
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer, eris.Wrapf(err, "prepare %s at %s", path, address)
	}
	post.Header.Set("Content-Type", "application/json")
	response, err := client.Do(post)
	if err != nil {
		return answer, eris.Wrapf(err, "call %s at %s", path, address)
	}
	defer response.Body.Close()
	return decodeAnswer[A](response, address, path)
}

func decodeAnswer[A any](response *http.Response, address, path string) (A, error) {
	var answer A
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return answer, eris.Wrapf(err, "read the answer to %s from %s", path, address)
	}
	if response.StatusCode != http.StatusOK {
		failure := &Error{Peer: address, Path: path, Status: response.StatusCode, Code: CodeInternal}
		if json.Unmarshal(body, failure) != nil {
			failure.Message = "answer is not JSON"
		}
		return answer, failure
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, eris.Wrapf(err, "decode the answer to %s from %s", path, address)
	}
	return answer, nil
}

// Classify maps an error of a service to its status and code on the wire.
type Classify func(error) (status int, code Code)

// Handle serves calls of one path by fn.
func Handle[Q, A any](classify Classify, fn func(context.Context, Q) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			writeError(w, http.StatusMethodNotAllowed, CodeBadRequest, "use POST")
			return
		}
		var request Q
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err := decoder.Decode(&request); err != nil && !errors.Is(err, io.EOF) {
			writeError(w, http.StatusBadRequest, CodeBadRequest, err.Error())
			return
		}
		answer, err := fn(r.Context(), request)
		if err != nil {
			status, code := classify(err)
			writeError(w, status, code, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

func writeError(w http.ResponseWriter, status int, code Code, message string) {
	writeJSON(w, status, Error{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has left; the next read of the
	// connection reports it.
	_ = json.NewEncoder(w).Encode(body)
}
