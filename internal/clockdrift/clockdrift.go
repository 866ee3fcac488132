package clockdrift

const (
	perMille = 1000
	// driftPerMille is the highest clock drift that is allowed for.
	driftPerMille = 10
)

// Shorten returns how many milliseconds of its own clock a holder may use of a lease or promise of the given length.
func Shorten(ms int64) int64 { return ms * (perMille - driftPerMille) / perMille }

// Lengthen returns how many milliseconds of its own clock another machine must wait until a lease or promise of the given length has certainly expired for its holder.
func Lengthen(ms int64) int64 {
	return (ms*(perMille+driftPerMille) + perMille - 1) / perMille
}
