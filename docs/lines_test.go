package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var metricName = regexp.MustCompile(`^hv_[a-z_]+$`)

// TestMetricsTable fails if operators.md does not list a metric that a daemon
// exports, or lists one that no daemon exports.
func TestMetricsTable(t *testing.T) {
	names := map[string]bool{}
	inspectSource(t, func(n ast.Node) {
		if text, ok := literal(n); ok && metricName.MatchString(text) {
			names["| `"+text+"` |"] = true
		}
	})
	compareTable(t, "metrics", keys(names), 1)
}

// TestLinesTable fails if a log line of level info or above, or one without a
// level, is missing from operators.md or has another level there.
func TestLinesTable(t *testing.T) {
	rows := map[string]bool{}
	inspectSource(t, func(n ast.Node) {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return
		}
		for i := 0; i+1 < len(call.Args); i++ {
			key, _ := literal(call.Args[i])
			msg, ok := literal(call.Args[i+1])
			if key == "msg" && ok && levelOf(call) != "debug" {
				rows[fmt.Sprintf("| `%s` | %s |", msg, levelOf(call))] = true
			}
		}
	})
	compareTable(t, "lines", keys(rows), 2)
}

// levelOf returns the level of a call of a logger, or "none".
func levelOf(call *ast.CallExpr) string {
	name := ""
	switch f := call.Fun.(type) {
	case *ast.Ident:
		name = strings.TrimPrefix(f.Name, "log")
	case *ast.SelectorExpr:
		if inner, ok := f.X.(*ast.CallExpr); ok {
			if s, ok := inner.Fun.(*ast.SelectorExpr); ok {
				name = s.Sel.Name
			}
		}
	}
	switch name = strings.ToLower(name); name {
	case "error", "warn", "info", "debug":
		return name
	}
	return "none"
}

func literal(n ast.Node) (string, bool) {
	b, ok := n.(*ast.BasicLit)
	if !ok || b.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(b.Value)
	return text, err == nil
}

func keys(m map[string]bool) (list []string) {
	for k := range m {
		list = append(list, k)
	}
	return list
}

// inspectSource visits the code of the daemons and of the packages that they use,
// without tests.
func inspectSource(t *testing.T, visit func(ast.Node)) {
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (strings.HasPrefix(d.Name(), "hvmeasure") || strings.HasPrefix(d.Name(), "hvslope") || d.Name() == "hvfake"):
			return fs.SkipDir
		case filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if n != nil {
				visit(n)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

var quotedLine = regexp.MustCompile(`msg="([^"]+)"`)

// TestOperationsLines fails if OPERATIONS.md shows a log line that no process
// writes.
func TestOperationsLines(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	written := map[string]bool{}
	inspectSource(t, func(n ast.Node) {
		if text, ok := literal(n); ok {
			written[text] = true
		}
	})
	shown := quotedLine.FindAllStringSubmatch(string(page), -1)
	if len(shown) == 0 {
		t.Fatal("OPERATIONS.md shows no log lines")
	}
	for _, m := range shown {
		if !written[m[1]] {
			t.Errorf("OPERATIONS.md shows the log line %q, which no process writes", m[1])
		}
	}
}
