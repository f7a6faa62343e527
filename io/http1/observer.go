package http1

import (
	"context"
	"io"
)

// Observer is called by the goroutine of an exchange each time bytes of the body of an answer have
// come, with the status of the answer and the number of bytes.
type Observer func(status, n int)

type observerKey struct{}

// WithObserver returns a context whose exchanges call observe.
func WithObserver(ctx context.Context, observe Observer) context.Context {
	return context.WithValue(ctx, observerKey{}, observe)
}

// observerOf returns the observer of a context, or one that does nothing.
func observerOf(ctx context.Context) Observer {
	if observe, ok := ctx.Value(observerKey{}).(Observer); ok {
		return observe
	}
	return func(int, int) {}
}

// observedBody is the body of an answer that is observed.
type observedBody struct {
	io.Reader
	status  int
	observe Observer
}

// Read reads from the body.
func (b observedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.observe(b.status, n)
	}
	return n, err
}
