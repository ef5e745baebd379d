// Package docs_test keeps the tables of the pages equal to the code.
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

// required holds a value for each field that has no default. The entry of
// every section is called name.
const required = `{
"zones": {"name": {"region": "r"}},
"gates": {"name": {"zone": "name", "address": "10.0.0.1:7000"}},
"callers": {"name": {"token": "0123456789abcdef"}},
"teams": {"name": {}, "big": {"quota": {"processors": 1000, "memory": "1GB"}}},
"services": {"name": {}},
"jobs": {"name": {"team": "big", "program": "p", "need": {"processors": 1, "memory": "1B"}, "runtime": "1s", "deadline": "2027-01-01T00:00:00Z"}},
"watchers": {"name": {"team": "big", "program": "p", "need": {"processors": 1, "memory": "1B"}}}
}`

// TestSettingsTable fails when a field, its form, its default or the values
// that hvconf accepts differ from the table of the page.
func TestSettingsTable(t *testing.T) {
	s, err := check(t, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	walk("", reflect.ValueOf(*s), func(path string, v reflect.Value) {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", strings.Replace(path, ".name.", ".NAME.", 1), form(v), initial(t, path, v), accepted(t, path, v)))
	})
	compare(t, "settings", want, 4)
}

// walk visits the fields in the order of their declaration.
func walk(path string, v reflect.Value, visit func(path string, v reflect.Value)) {
	switch {
	case leaf(v):
		visit(path, v)
	case v.Kind() == reflect.Map:
		names := []string{"name"}
		if v.Type().Key() == reflect.TypeFor[hv.Class]() {
			names = []string{"urgent", "standard", "batch"}
		}
		for _, name := range names {
			walk(path+"."+name, v.MapIndex(reflect.ValueOf(name).Convert(v.Type().Key())), visit)
		}
	default:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			walk(strings.TrimPrefix(path+"."+name, "."), v.Field(i), visit)
		}
	}
}

func leaf(v reflect.Value) bool {
	_, text := v.Interface().(encoding.TextMarshaler)
	return text || v.Kind() != reflect.Struct && v.Kind() != reflect.Map || v.Type() == reflect.TypeFor[map[string]string]()
}

func form(v reflect.Value) string {
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

// initial is the default of a field. A field without one is refused when it
// is missing.
func initial(t *testing.T, path string, v reflect.Value) string {
	if given(t, path) {
		if _, err := check(t, path, json.RawMessage("null")); err == nil {
			t.Errorf("%s: is in required, but not required", path)
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

func given(t *testing.T, path string) bool {
	var at any
	if err := json.Unmarshal([]byte(required), &at); err != nil {
		t.Fatal(err)
	}
	for _, key := range strings.Split(path, ".") {
		m, _ := at.(map[string]any)
		if at = m[key]; at == nil {
			return false
		}
	}
	return true
}

// accepted takes the allowed values from the errors for wrong ones.
func accepted(t *testing.T, path string, v reflect.Value) string {
	probes := map[string][]string{
		"duration": {`"0s"`, `"2000000h"`}, "size": {`"0B"`, `"4000000GB"`},
		"whole number": {"0", "1000000000"}, "number": {"-1", "1000000000"}, "string": {`"?"`},
	}
	for _, probe := range probes[form(v)] {
		_, err := check(t, path, json.RawMessage(probe))
		var all hvconf.Problems
		errors.As(err, &all)
		for _, p := range all {
			if want, ok := strings.CutPrefix(p.Message, "want "); ok && p.Field == path {
				want, _, _ = strings.Cut(want, ", got")
				return want
			}
		}
	}
	return "-"
}

// check merges one more file that sets a field.
func check(t *testing.T, path string, v json.RawMessage) (*hvconf.Settings, error) {
	files := hvconf.Files{"10-required.json": json.RawMessage(required)}
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

// TestLocalTables fails when the local settings file of a daemon has other
// fields than the page.
func TestLocalTables(t *testing.T) {
	for program, dir := range map[string]string{"hvgate": "../cmd/hvgate", "hvside": "../hvagent"} {
		var want []string
		for _, f := range localFields(t, dir) {
			want = append(want, "| `"+f+"` |")
		}
		compare(t, program, want, 1)
	}
}

// localFields returns the fields of the type config of a program.
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
				fields = append(fields, members(name, field.Type)...)
			}
			return false
		})
	}
	return fields
}

// members expands a host, the only object in a local settings file.
func members(name string, typ ast.Expr) (fields []string) {
	if s, ok := typ.(*ast.SelectorExpr); !ok || s.Sel.Name != "Host" {
		return []string{name}
	}
	walk(name, reflect.ValueOf(hv.Host{}), func(path string, _ reflect.Value) { fields = append(fields, path) })
	return fields
}

// compare compares the first columns of the table after a marker.
func compare(t *testing.T, marker string, want []string, columns int) {
	t.Helper()
	got := table(t, marker, columns)
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("operators.md, table %s: want the row\n%s", marker, row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("operators.md, table %s: not in the code:\n%s", marker, row)
		}
	}
}

// table reads the rows that begin with a name in backquotes.
func table(t *testing.T, marker string, columns int) (rows []string) {
	f, err := os.Open("operators.md")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	inside := false
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		switch {
		case line == "<!-- table: "+marker+" -->":
			inside = true
		case inside && strings.HasPrefix(line, "| `"):
			rows = append(rows, strings.Join(strings.SplitAfter(line, " |")[:columns], ""))
		case inside && line == "" && rows != nil:
			return rows
		}
	}
	return rows
}

// TestHelpOfHvctl fails when the page shows another help than the script that
// compares it with the output of the program.
func TestHelpOfHvctl(t *testing.T) {
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
		t.Errorf("operators.md: want in a block\n%s", help)
	}
}
