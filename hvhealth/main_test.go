package hvhealth

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of rapid, so that every run
// has the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed=1")
	os.Exit(m.Run())
}
