// Package clock provides the clocks of all components: a real one, and a fake one for tests and simulations, both in whole milliseconds.
package clock
