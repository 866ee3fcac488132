package sendcheck

import "context"

type contextKey struct{}

// With returns a context whose calls may be sent only while allowed returns true, in addition to the checks that ctx has already; allowed must be safe for concurrent use. A context that context.WithoutCancel derives from it keeps the checks.
func With(ctx context.Context, allowed func() bool) context.Context {
	earlier := checkOf(ctx)
	return context.WithValue(ctx, contextKey{}, func() bool { return earlier() && allowed() })
}

// Allowed reports whether a call with this context may be sent now: the context hasn't ended and all of its checks pass. The context's end isn't sufficient, since its timer may fire late after a pause and doesn't count a suspension, so checks compare clock times.
func Allowed(ctx context.Context) bool { return ctx.Err() == nil && checkOf(ctx)() }

// checkOf returns the check of all permissions that a context's calls need.
func checkOf(ctx context.Context) func() bool {
	if allowed, ok := ctx.Value(contextKey{}).(func() bool); ok {
		return allowed
	}
	return func() bool { return true }
}
