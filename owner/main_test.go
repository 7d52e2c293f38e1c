package owner_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of checks of each property, which is higher than the default
// of rapid, and a fixed seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "5000")
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
