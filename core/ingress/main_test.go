package ingress

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261207"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
