package hvconf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// maxDepth bounds the nesting of a settings file.
const maxDepth = 16

// node is a JSON value with the file that set it.
type node struct {
	file string
	// object and list are nil for other values.
	object map[string]*node
	list   []*node
	// value is a string, json.Number, bool or nil.
	value any
}

// parse reads one file. A duplicate key is an error, because one of its values
// would have no effect.
func parse(file string, data []byte) (*node, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	n, err := parseValue(d, file, "", 0)
	if err == nil {
		if _, trailing := d.Token(); trailing != io.EOF {
			err = errors.New("want one JSON object, got more after its end")
		}
	}
	var p Problem
	switch {
	case errors.As(err, &p):
		return nil, p
	case err != nil:
		line := 1 + bytes.Count(data[:min(int(d.InputOffset()), len(data))], []byte("\n"))
		return nil, Problem{File: file, Message: fmt.Sprintf("line %d: want JSON: %v", line, err)}
	case n.object == nil:
		return nil, Problem{File: file, Message: "want a JSON object, got " + n.describe()}
	}
	return n, nil
}

// Error implements the error interface.
func (p Problem) Error() string { return p.String() }

func parseValue(d *json.Decoder, file, path string, depth int) (*node, error) {
	t, err := d.Token()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, Problem{File: file, Field: path, Message: fmt.Sprintf("want at most %d levels", maxDepth)}
	}
	switch t {
	case json.Delim('{'):
		return parseObject(d, file, path, depth)
	case json.Delim('['):
		return parseList(d, file, path, depth)
	}
	return &node{file: file, value: t}, nil
}

func parseObject(d *json.Decoder, file, path string, depth int) (*node, error) {
	n := &node{file: file, object: map[string]*node{}}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		key := t.(string) // the decoder accepts only strings as keys
		field := join(path, key)
		if _, duplicate := n.object[key]; duplicate {
			return nil, Problem{File: file, Field: field, Message: "want one value, got a second one"}
		}
		if n.object[key], err = parseValue(d, file, field, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := d.Token()
	return n, err
}

func parseList(d *json.Decoder, file, path string, depth int) (*node, error) {
	n := &node{file: file, list: []*node{}}
	for d.More() {
		item, err := parseValue(d, file, fmt.Sprintf("%s[%d]", path, len(n.list)), depth+1)
		if err != nil {
			return nil, err
		}
		n.list = append(n.list, item)
	}
	_, err := d.Token()
	return n, err
}

func (n *node) isNull() bool { return n.object == nil && n.list == nil && n.value == nil }

// describe returns the value as shown in an error.
func (n *node) describe() string {
	switch {
	case n.object != nil:
		return "an object"
	case n.list != nil:
		return "a list"
	case n.value == nil:
		return "null"
	}
	b, _ := json.Marshal(n.value)
	return string(b)
}

// merge returns base with override applied: objects are merged by key, other
// values are replaced, and null deletes a key.
func merge(base, override *node) *node {
	if override.object == nil {
		return override
	}
	merged := &node{file: override.file, object: map[string]*node{}}
	if base != nil {
		for k, v := range base.object {
			merged.object[k] = v
		}
	}
	for k, v := range override.object {
		if v.isNull() {
			delete(merged.object, k)
			continue
		}
		merged.object[k] = merge(merged.object[k], v)
	}
	return merged
}

// fileOf returns the file that set a field, or else that of the innermost
// existing object on the path to it.
func (n *node) fileOf(path string) string {
	current := n
	for rest := path; rest != ""; {
		var child *node
		for i := 0; i <= len(rest) && child == nil; i++ {
			// A name such as that of a host may itself contain dots.
			if i == len(rest) || rest[i] == '.' || rest[i] == '[' {
				if child = current.object[rest[:i]]; child != nil {
					rest = strings.TrimPrefix(rest[i:], ".")
				}
			}
		}
		if child == nil {
			break
		}
		current = child
	}
	return current.file
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
