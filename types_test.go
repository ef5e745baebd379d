package hibiscusvane_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
)

func ExampleSize() {
	var s hv.Size
	if err := json.Unmarshal([]byte(`"60GB"`), &s); err != nil {
		fmt.Println(err)
	}
	b, _ := s.MarshalText()
	fmt.Println(int64(s), string(b))
	// Output: 60000000000 60GB
}

func ExampleParseAttempt() {
	a, _ := hv.ParseAttempt("report-7@2")
	fmt.Println(a.Task, a.Number, a)
	// Output: report-7 2 report-7@2
}

// Guards against invalid input that is accepted, or refused without naming the
// value at fault.
func TestDecodeNamesBadValue(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"duration without unit", `{"left":"5"}`, "duration \"5\""},
		{"negative duration", `{"left":"-5s"}`, "negative"},
		{"class", `{"class":"first"}`, "class \"first\""},
	} {
		var r hv.Request
		if err := json.Unmarshal([]byte(c.text), &r); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error = %v, want it to contain %q", c.name, err, c.want)
		}
	}
	for _, text := range []string{`"60"`, `"-1GB"`, `"1.5GB"`, `"9000000000000000000GB"`, `""`} {
		var s hv.Size
		if err := json.Unmarshal([]byte(text), &s); err == nil {
			t.Errorf("size %s was accepted as %d", text, s)
		}
	}
}

// Guards against accepting a task that can never be addressed or ended, and
// against an error that doesn't name the invalid field.
func TestTaskCheckNamesField(t *testing.T) {
	good := hv.Task{ID: "w1", Kind: hv.Watcher, Program: "watch"}
	if err := good.Check(); err != nil {
		t.Fatalf("valid task: %v", err)
	}
	for field, change := range map[string]func(*hv.Task){
		"id":       func(t *hv.Task) { t.ID = "a@1" },
		"kind":     func(t *hv.Task) { t.Kind = "daemon" },
		"program":  func(t *hv.Task) { t.Program = "" },
		"deadline": func(t *hv.Task) { t.Kind = hv.Job },
		"once":     func(t *hv.Task) { t.Once = true },
		"need":     func(t *hv.Task) { t.Need.Memory = -1 },
	} {
		bad := good
		change(&bad)
		if err := bad.Check(); err == nil || !strings.Contains(err.Error(), field+":") {
			t.Errorf("%s: error = %v, want it to name the field", field, err)
		}
	}
}
