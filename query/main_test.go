package query_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs more checks of each property than the library does by itself,
// from the same seed each time.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
