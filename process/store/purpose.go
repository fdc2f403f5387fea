package store

import "context"

// Purpose names what a call to the store is made for, in metrics and logs.
type Purpose string

type purposeKey struct{}

// WithPurpose returns a context whose calls to the store are counted under a purpose.
func WithPurpose(ctx context.Context, purpose Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// PurposeOf returns the purpose of the calls made with a context, "other" if it has none.
func PurposeOf(ctx context.Context) Purpose {
	if purpose, set := ctx.Value(purposeKey{}).(Purpose); set {
		return purpose
	}
	return "other"
}
