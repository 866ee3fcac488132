package property

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// rapid chooses a random seed if its flag is 0.
const (
	seedFlag  = "rapid.seed"
	unsetSeed = "0"
	fixedSeed = "1"
)

// Check checks the property with the number of test cases that the flag rapid.checks gives.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	if fl := flag.Lookup(seedFlag); fl != nil && fl.Value.String() == unsetSeed {
		if err := flag.Set(seedFlag, fixedSeed); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, prop)
}
