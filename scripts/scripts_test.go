package scripts_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs the scripts of this folder in a copy of it, with a command go that
// prints its arguments. The first comment of each test script names the failures that
// it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup})
}

func setup(env *testscript.Env) error {
	bin := filepath.Join(env.WorkDir, "bin")
	env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
	if err := os.Mkdir(bin, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(bin, "go"), []byte("#!/bin/sh\necho go \"$@\"\n"), 0o755); err != nil {
		return err
	}
	scripts := filepath.Join(env.WorkDir, "scripts")
	if err := os.Mkdir(scripts, 0o755); err != nil {
		return err
	}
	return copyScripts(scripts)
}

func copyScripts(dir string) error {
	names, err := filepath.Glob("*.sh")
	if err != nil {
		return err
	}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
			return err
		}
	}
	return nil
}
