package hvconf

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// MaxBytes bounds the total size of the files of one version.
	MaxBytes = 1 << 20
	// MaxFiles bounds the number of files of one version.
	MaxFiles = 128
)

// Files maps the name of each settings file to its content.
type Files map[string]json.RawMessage

// Load reads the files of a folder that have the suffix .json and ignores all
// others.
func Load(dir string) (Files, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &Error{Op: "load", Kind: hv.NotFound, Err: err}
	}
	files := Files{}
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), ".json") {
			continue
		}
		if files[e.Name()], err = readFile(filepath.Join(dir, e.Name())); err != nil {
			return nil, &Error{Op: "load", Kind: hv.Invalid, Err: err}
		}
	}
	if len(files) == 0 {
		return nil, errorf("load", hv.NotFound, "folder %s has no file with the suffix .json", dir)
	}
	return files, nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if len(data) > MaxBytes {
		return nil, errors.Errorf("%s: want at most %d bytes", filepath.Base(path), MaxBytes)
	}
	return data, err
}

// Check merges files in the order of their names and checks the result. The
// error lists all problems that the first failing stage (reading, decoding or
// checking) found.
func Check(files Files) (*Settings, error) {
	problems := checkBounds(files)
	tree := &node{file: "settings", object: map[string]*node{}}
	for _, name := range sortedKeys(files) {
		n, err := parse(name, files[name])
		var p Problem
		if errors.As(err, &p) {
			problems = append(problems, p)
			continue
		}
		tree = merge(tree, n)
		tree.file = "settings"
	}
	if len(problems) > 0 {
		return nil, invalidError(problems)
	}
	s := Default()
	d := &decoder{}
	d.decode(reflect.ValueOf(s).Elem(), tree, "")
	if len(d.problems) > 0 {
		return nil, invalidError(d.problems)
	}
	c := &checker{s: s, tree: tree}
	c.check()
	if len(c.problems) > 0 {
		return nil, invalidError(c.problems)
	}
	return s, nil
}

func invalidError(p Problems) error {
	return &Error{Op: "check", Kind: hv.Invalid, Err: p.sorted()}
}

func checkBounds(files Files) Problems {
	var problems Problems
	total := 0
	for name, data := range files {
		total += len(data)
		if !strings.HasSuffix(name, ".json") || len(name) > 128 || strings.ContainsAny(name, "/\\") {
			problems = append(problems, Problem{File: name, Message: "want a file name with the suffix .json"})
		}
	}
	if total > MaxBytes || len(files) > MaxFiles {
		problems = append(problems, Problem{File: "settings", Message: "want at most 128 files of 1 MiB together"})
	}
	return problems
}
