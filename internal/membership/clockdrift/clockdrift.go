package clockdrift

const (
	perMille = 1000
	// driftPerMille is the highest clock drift that is allowed for.
	driftPerMille = 10
	// roundingMS covers clock readings, which are cut to whole milliseconds.
	roundingMS = 1
)

// Shorten returns how many milliseconds of its own clock a holder may use of a lease or promise of the given length.
func Shorten(ms int64) int64 { return max(0, ms-margin(ms)) }

// Lengthen returns how many milliseconds of its own clock another machine must wait until a lease or promise of the given length has certainly expired for its holder; one without length has expired at once.
func Lengthen(ms int64) int64 {
	if ms <= 0 {
		return 0
	}
	return ms + margin(ms)
}

func margin(ms int64) int64 {
	return (ms*driftPerMille+perMille-1)/perMille + roundingMS
}
