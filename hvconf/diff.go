package hvconf

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Change is a difference in one field. Before or After is empty for a field
// that was added or removed.
type Change struct {
	Field  string
	Before string
	After  string
}

// String shows a change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Before, c.After)
}

// Diff returns the changes from one version to another in the order of their
// fields, with defaults filled in. Tokens are not shown.
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
	for _, f := range keys(all) {
		if before[f] == after[f] {
			continue
		}
		c := Change{Field: f, Before: before[f], After: after[f]}
		if strings.HasSuffix(f, ".token") {
			c.Before, c.After = hide(c.Before), hide(c.After)
		}
		changes = append(changes, c)
	}
	return changes
}

func hide(token string) string {
	if token == "" {
		return ""
	}
	return "(hidden)"
}

// flatten maps each field to its value in JSON. Lists count as one value.
func flatten(s *Settings) map[string]string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // settings hold only types that JSON can carry
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
