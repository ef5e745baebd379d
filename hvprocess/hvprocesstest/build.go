// Package hvprocesstest builds the programs for tests that run them as processes.
package hvprocesstest

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Build builds programs below the root folder of the repository and returns the folder
// with them.
func Build(t testing.TB, root string, programs ...string) string {
	t.Helper()
	readSources(t, root)
	dir := t.TempDir()
	for _, p := range programs {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, p), "./"+filepath.Join("cmd", p))
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", p, err, out)
		}
	}
	return dir
}

// readSources reads all source files, so that the cache of go test knows them as
// inputs of the test. The cache does not see the inputs of the build that the test
// runs.
func readSources(t testing.TB, root string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
