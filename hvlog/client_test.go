package hvlog_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvlog"
)

// Guards against reporting an append as failed for certain although it may have
// taken effect.
func TestAppendKinds(t *testing.T) {
	var status atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		code := int(status.Load())
		if code == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(code)
		_, _ = w.Write([]byte(`{"offset":4}`))
	}))
	c := hvlog.NewClient(srv.URL, srv.Client())
	for s, want := range map[int32]hv.ErrorKind{
		0: hv.Uncertain, 503: hv.Unavailable, 504: hv.Uncertain, 500: hv.Uncertain, 413: hv.Invalid,
	} {
		status.Store(s)
		if _, err := c.Append(t.Context(), "s", hv.Record{ID: "a/1"}); hv.KindOf(err) != want {
			t.Errorf("status %d: got %v, want kind %s", s, err, want)
		}
	}
	status.Store(200)
	if offset, err := c.Append(t.Context(), "s", hv.Record{ID: "a/1"}); err != nil || offset != 4 {
		t.Errorf("got offset %d, error %v; want offset 4", offset, err)
	}
	srv.Close()
	if _, err := c.Append(t.Context(), "s", hv.Record{ID: "a/1"}); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("no server: got %v, want kind unavailable", err)
	}
}
