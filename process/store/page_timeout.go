package store

import (
	"context"
	"time"
)

type pageTimeoutKey struct{}

// WithPageTimeout returns a context whose listings may take the given time for each page. A
// limit on a whole listing would make one with more pages than it allows fail for ever.
func WithPageTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, pageTimeoutKey{}, timeout)
}

// PageContext returns the context of the call for one page of a listing.
func PageContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if timeout, set := ctx.Value(pageTimeoutKey{}).(time.Duration); set {
		return context.WithTimeout(ctx, timeout)
	}
	return context.WithCancel(ctx)
}
