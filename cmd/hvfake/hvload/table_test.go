package hvload

import (
	"net/http"
	"net/http/httptest"
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
)

// Guards against a table that does not show a fault: each fault must be counted in
// its column, and Clean must return false.
func TestTableShowsFaults(t *testing.T) {
	serve := func(path, body string) string {
		mux := http.NewServeMux()
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		return s.URL
	}
	l := New(Config{
		Upstreams: []string{serve("/runs", `{"twice":1,"false":1}`), serve("/runs", `{"twice":1}`)},
		Workers: []string{
			serve("/history", `[{"attempt":{"task":"t","number":1},"begin":"2026-01-01T00:00:00Z","end":"2026-01-01T00:00:02Z"}]`),
			serve("/history", `[{"attempt":{"task":"t","number":2},"begin":"2026-01-01T00:00:01Z","end":"2026-01-01T00:00:03Z"}]`),
		},
	})
	l.sent = []sentRequest{{"urgent", "twice", hv.Done}, {"urgent", "lost", hv.Done}, {"urgent", "false", hv.NotRun}}
	for _, count := range []func() error{
		func() error { return l.countRuns(t.Context()) },
		func() error { return l.countOverlaps(t.Context()) },
	} {
		if err := count(); err != nil {
			t.Fatal(err)
		}
	}
	table := l.table()
	if table.Clean() {
		t.Error("Clean() = true, want false")
	}
	job, urgent := table.Rows[0], table.Rows[1]
	if urgent.Duplicates != 1 || urgent.Lost != 1 || urgent.FalseNotRun != 1 || job.Duplicates != 1 {
		t.Errorf("urgent = %+v, job = %+v; want one duplicate, one lost and one falsely not-run request and one duplicate job", urgent, job)
	}
}
