package feed_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of checks of each property and a fixed seed. More, and others, by
// hand: -rapid.checks 3000 -rapid.seed 7.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
