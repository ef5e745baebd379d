package hvlogger

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log/level"
)

// Guards against a level that has no effect on component loggers created before.
func TestSetLevelAppliesToExistingComponents(t *testing.T) {
	var b bytes.Buffer
	r := New(&b)
	component := r.Component("gate")
	_ = level.Debug(component).Log("msg", "first")
	if err := r.SetLevel("debug"); err != nil {
		t.Fatal(err)
	}
	_ = level.Debug(component).Log("msg", "second")
	if got := b.String(); strings.Contains(got, "first") || !strings.Contains(got, "part=gate msg=second") {
		t.Errorf("log = %q, want only the second line, with its component", got)
	}
	if err := r.SetLevel("loud"); err == nil || !strings.Contains(err.Error(), "loud") {
		t.Errorf("error = %v, want one that names the level", err)
	}
}
