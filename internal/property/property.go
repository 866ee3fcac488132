package property

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

const (
	seedFlag  = "rapid.seed"
	unsetSeed = "0"
	fixedSeed = "1"
)

// Check runs the property for the number of cases that the flag rapid.checks gives.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	if fl := flag.Lookup(seedFlag); fl != nil && fl.Value.String() == unsetSeed {
		if err := flag.Set(seedFlag, fixedSeed); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, prop)
}
