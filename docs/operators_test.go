// Package docs_test checks that the tables of the pages match the code.
package docs_test

import (
	"bufio"
	"encoding"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

// requiredFields holds a value for each field that has no default. Every section
// has an entry called name.
const requiredFields = `{
"zones": {"name": {"region": "r"}},
"gates": {"name": {"zone": "name", "address": "10.0.0.1:7000"}},
"callers": {"name": {"token": "0123456789abcdef"}},
"teams": {"name": {}, "big": {"quota": {"processors": 1000, "memory": "1GB"}}},
"services": {"name": {}},
"jobs": {"name": {"team": "big", "program": "p", "need": {"processors": 1, "memory": "1B"}, "runtime": "1s", "deadline": "2027-01-01T00:00:00Z"}},
"watchers": {"name": {"team": "big", "program": "p", "need": {"processors": 1, "memory": "1B"}}}
}`

// TestSettingsTable fails if a field, its type, its default or the values that
// hvconf accepts differ from the table in operators.md.
func TestSettingsTable(t *testing.T) {
	s, err := check(t, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	walkFields("", reflect.ValueOf(*s), func(path string, v reflect.Value) {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", strings.Replace(path, ".name.", ".NAME.", 1), typeName(v), defaultValue(t, path, v), acceptedValues(t, path, v)))
	})
	compareTable(t, "settings", want, 4)
}

// walkFields visits the leaf fields in the order of their declaration.
func walkFields(path string, v reflect.Value, visit func(path string, v reflect.Value)) {
	switch {
	case isLeaf(v):
		visit(path, v)
	case v.Kind() == reflect.Map:
		names := []string{"name"}
		if v.Type().Key() == reflect.TypeFor[hv.Class]() {
			names = []string{"urgent", "standard", "batch"}
		}
		for _, name := range names {
			walkFields(path+"."+name, v.MapIndex(reflect.ValueOf(name).Convert(v.Type().Key())), visit)
		}
	default:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			walkFields(strings.TrimPrefix(path+"."+name, "."), v.Field(i), visit)
		}
	}
}

func isLeaf(v reflect.Value) bool {
	_, isText := v.Interface().(encoding.TextMarshaler)
	return isText || v.Kind() != reflect.Struct && v.Kind() != reflect.Map || v.Type() == reflect.TypeFor[map[string]string]()
}

func typeName(v reflect.Value) string {
	switch v.Interface().(type) {
	case hv.Duration:
		return "duration"
	case hv.Size:
		return "size"
	case encoding.TextMarshaler:
		return "time"
	}
	return map[reflect.Kind]string{
		reflect.String: "string", reflect.Bool: "true or false", reflect.Int: "whole number", reflect.Int64: "whole number",
		reflect.Float64: "number", reflect.Slice: "list of strings", reflect.Map: "object of strings",
	}[v.Kind()]
}

// defaultValue returns the default of a field, or "required" for a field whose
// absence is an error.
func defaultValue(t *testing.T, path string, v reflect.Value) string {
	if isRequired(t, path) {
		if _, err := check(t, path, json.RawMessage("null")); err == nil {
			t.Errorf("%s: is in requiredFields, but settings without it are accepted", path)
		}
		return "required"
	}
	if text, ok := v.Interface().(encoding.TextMarshaler); ok {
		b, err := text.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	if v.IsZero() && v.Kind() != reflect.Bool && !v.CanInt() && !v.CanFloat() {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

func isRequired(t *testing.T, path string) bool {
	var value any
	if err := json.Unmarshal([]byte(requiredFields), &value); err != nil {
		t.Fatal(err)
	}
	for _, key := range strings.Split(path, ".") {
		m, _ := value.(map[string]any)
		if value = m[key]; value == nil {
			return false
		}
	}
	return true
}

// acceptedValues returns the allowed values as the errors for invalid values state
// them, or "-".
func acceptedValues(t *testing.T, path string, v reflect.Value) string {
	probes := map[string][]string{
		"duration": {`"0s"`, `"2000000h"`}, "size": {`"0B"`, `"4000000GB"`},
		"whole number": {"0", "1000000000"}, "number": {"-1", "1000000000"}, "string": {`"?"`},
	}
	for _, probe := range probes[typeName(v)] {
		_, err := check(t, path, json.RawMessage(probe))
		var problems hvconf.Problems
		errors.As(err, &problems)
		for _, p := range problems {
			if want, ok := strings.CutPrefix(p.Message, "want "); ok && p.Field == path {
				want, _, _ = strings.Cut(want, ", got")
				return want
			}
		}
	}
	return "-"
}

// check checks the required settings, together with a file that sets one more
// field if path is not empty.
func check(t *testing.T, path string, v json.RawMessage) (*hvconf.Settings, error) {
	files := hvconf.Files{"10-required.json": json.RawMessage(requiredFields)}
	if path != "" {
		keys := strings.Split(path, ".")
		for _, k := range slices.Backward(keys) {
			b, err := json.Marshal(map[string]json.RawMessage{k: v})
			if err != nil {
				t.Fatal(err)
			}
			v = b
		}
		files["20-field.json"] = v
	}
	return hvconf.Check(files)
}

// TestLocalTables fails if the fields of a daemon's local settings file differ
// from the table in operators.md.
func TestLocalTables(t *testing.T) {
	for program, dir := range map[string]string{"hvgate": "../cmd/hvgate", "hvside": "../hvagent"} {
		var want []string
		for _, f := range localFields(t, dir) {
			want = append(want, "| `"+f+"` |")
		}
		compareTable(t, program, want, 1)
	}
}

// localFields returns the fields of the type config (or Config) of a program.
func localFields(t *testing.T, dir string) (fields []string) {
	paths, err := filepath.Glob(dir + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok || !strings.EqualFold(spec.Name.Name, "config") {
				return true
			}
			for _, field := range spec.Type.(*ast.StructType).Fields.List {
				tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`"))
				name, _, _ := strings.Cut(tag.Get("json"), ",")
				fields = append(fields, expandHost(name, field.Type)...)
			}
			return false
		})
	}
	return fields
}

// expandHost returns the fields of a host, the only object in a local settings
// file, or the name of any other field.
func expandHost(name string, typ ast.Expr) (fields []string) {
	if s, ok := typ.(*ast.SelectorExpr); !ok || s.Sel.Name != "Host" {
		return []string{name}
	}
	walkFields(name, reflect.ValueOf(hv.Host{}), func(path string, _ reflect.Value) { fields = append(fields, path) })
	return fields
}

// compareTable compares the first columns of a table in operators.md with the
// rows in want. marker is the name in the comment before the table.
func compareTable(t *testing.T, marker string, want []string, columns int) {
	t.Helper()
	got := tableRows(t, marker, columns)
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("operators.md, table %s: missing row:\n%s", marker, row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("operators.md, table %s: row without counterpart in the code:\n%s", marker, row)
		}
	}
}

// tableRows returns the rows of a table that begin with a name in backquotes.
func tableRows(t *testing.T, marker string, columns int) (rows []string) {
	f, err := os.Open("operators.md")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	inTable := false
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		switch {
		case line == "<!-- table: "+marker+" -->":
			inTable = true
		case inTable && strings.HasPrefix(line, "| `"):
			rows = append(rows, strings.Join(strings.SplitAfter(line, " |")[:columns], ""))
		case inTable && line == "" && rows != nil:
			return rows
		}
	}
	return rows
}

// TestHvctlHelp fails if operators.md shows a help text other than that in the
// script which checks the output of hvctl.
func TestHvctlHelp(t *testing.T) {
	script, err := os.ReadFile("../cmd/hvctl/testdata/usage.txtar")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, help, found := strings.Cut(string(script), "-- help --\n")
	if !found || !strings.Contains(string(page), "```\n"+help+"```\n") {
		t.Errorf("operators.md: missing code block:\n%s", help)
	}
}
