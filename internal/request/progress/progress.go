package progress

import "context"

type contextKey struct{}

// With returns a context whose calls report the size of each part of an answer to onReceived, in addition to the functions that ctx has already; onReceived must be safe for concurrent use.
func With(ctx context.Context, onReceived func(bytes int)) context.Context {
	return Through(ctx, func(bytes int) int {
		onReceived(bytes)
		return bytes
	})
}

// Through returns a context like With, of which the functions that ctx has already are told only what pass returns, and nothing if that is 0.
func Through(ctx context.Context, pass func(bytes int) int) context.Context {
	return context.WithValue(ctx, contextKey{}, func(bytes int) {
		if passed := pass(bytes); passed > 0 {
			Report(ctx, passed)
		}
	})
}

// Report tells those who follow the context that a part of the answer has arrived.
func Report(ctx context.Context, bytes int) {
	if onReceived, ok := ctx.Value(contextKey{}).(func(int)); ok {
		onReceived(bytes)
	}
}
