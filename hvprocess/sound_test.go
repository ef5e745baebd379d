package hvprocess

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// faults are texts that no daemon may have logged.
var faults = []string{"invariant violated", "panic: ", "fatal error: ", "requests are cut off", "address already in use"}

// cmdSound fails if a process has logged that an invariant was violated, has
// panicked or has cut off requests.
func cmdSound(ts *testscript.TestScript, _ bool, _ []string) {
	logs, err := filepath.Glob(ts.MkAbs("*.log"))
	ts.Check(err)
	for _, path := range logs {
		b, err := os.ReadFile(path)
		ts.Check(err)
		for line := range strings.Lines(string(b)) {
			for _, f := range faults {
				if strings.Contains(line, f) {
					ts.Fatalf("%s: %s", filepath.Base(path), line)
				}
			}
		}
	}
}
