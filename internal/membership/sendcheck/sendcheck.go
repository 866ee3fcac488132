package sendcheck

import "context"

type contextKey struct{}

// With returns a context whose calls may be sent only while allowed returns true, in addition to the checks that ctx has already; allowed must be safe for concurrent use.
func With(ctx context.Context, allowed func() bool) context.Context {
	return context.WithValue(ctx, contextKey{}, func() bool { return Allowed(ctx) && allowed() })
}

// Allowed reports whether a call with this context may be sent now: the context hasn't ended and all of its checks pass. The context's end isn't sufficient, since its timer may fire late after a pause and doesn't count a suspension, so checks compare clock times.
func Allowed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	allowed, ok := ctx.Value(contextKey{}).(func() bool)
	return !ok || allowed()
}
