package httpjson

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A body that held a request and something else was taken for the request.
func TestBodyWithTrailingDataIsRefused(t *testing.T) {
	type request struct {
		Key string `json:"key"`
	}
	var served []string
	handler := Handle(func(error) (int, Code) { return http.StatusInternalServerError, CodeInternal }, func(_ context.Context, r request) (struct{}, error) {
		served = append(served, r.Key)
		return struct{}{}, nil
	})
	for body, want := range map[string]int{
		`{"key":"a"}`: http.StatusOK, " {\"key\":\"a\"}\r\n": http.StatusOK, ``: http.StatusOK,
		`{"key":"b"}{"key":"c"}`: http.StatusBadRequest, `{"key":"b"} x`: http.StatusBadRequest, `{"key":"b"`: http.StatusBadRequest, "{\"key\":\"b\"}\x00": http.StatusBadRequest,
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		if recorder.Code != want {
			t.Errorf("%q: status %d, want %d", body, recorder.Code, want)
		}
	}
	if len(served) != 3 {
		t.Errorf("served %q", served)
	}
}
