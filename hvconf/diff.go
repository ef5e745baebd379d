package hvconf

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Change is a difference in one field. Before is empty for a field that was
// added, After for one that was removed.
type Change struct {
	Field  string
	Before string
	After  string
}

// String formats the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Before, c.After)
}

// Diff returns the changes from one version to another, sorted by field.
// Unset fields count with their defaults, and tokens are redacted.
func Diff(from, to *Settings) []Change {
	before, after := flatten(from), flatten(to)
	all := map[string]bool{}
	for f := range before {
		all[f] = true
	}
	for f := range after {
		all[f] = true
	}
	var changes []Change
	for _, f := range sortedKeys(all) {
		if before[f] == after[f] {
			continue
		}
		c := Change{Field: f, Before: before[f], After: after[f]}
		if strings.HasSuffix(f, ".token") {
			c.Before, c.After = redact(c.Before), redact(c.After)
		}
		changes = append(changes, c)
	}
	return changes
}

func redact(token string) string {
	if token == "" {
		return ""
	}
	return "(hidden)"
}

// flatten returns the JSON value of each field by its path. A list is one value.
func flatten(s *Settings) map[string]string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // Settings has only types that can be encoded in JSON
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		panic(err)
	}
	out := map[string]string{}
	flattenInto(out, "", tree)
	return out
}

func flattenInto(out map[string]string, path string, v any) {
	if m, ok := v.(map[string]any); ok && len(m) > 0 {
		for k, child := range m {
			flattenInto(out, join(path, k), child)
		}
		return
	}
	if m, ok := v.(map[string]any); v == nil || ok && len(m) == 0 && strings.Count(path, ".") == 0 {
		return
	}
	b, _ := json.Marshal(v)
	out[path] = string(b)
}
