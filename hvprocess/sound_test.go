package hvprocess

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// forbiddenTexts must not occur in the log of any process.
var forbiddenTexts = []string{"invariant violated", "panic: ", "fatal error: ", "graceful shutdown of the HTTP server was incomplete", "address already in use"}

// cmdSound fails if a process has logged the violation of an invariant, a panic,
// interrupted requests or an address that was already in use.
func cmdSound(ts *testscript.TestScript, _ bool, _ []string) {
	logs, err := filepath.Glob(ts.MkAbs("*.log"))
	ts.Check(err)
	for _, path := range logs {
		b, err := os.ReadFile(path)
		ts.Check(err)
		for line := range strings.Lines(string(b)) {
			for _, f := range forbiddenTexts {
				if strings.Contains(line, f) {
					ts.Fatalf("%s: %s", filepath.Base(path), line)
				}
			}
		}
	}
}
