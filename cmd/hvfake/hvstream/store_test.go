package hvstream

import (
	"net/http/httptest"
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvlog"
)

// Guards against a fake and a client that disagree on the protocol of the log
// service: first offset, lost responses, expiry and outage.
func TestClient(t *testing.T) {
	store := New(hv.SystemClock{})
	srv := httptest.NewServer(store.Handler())
	defer srv.Close()
	c := hvlog.NewClient(srv.URL, srv.Client())
	if page, err := c.Read(t.Context(), "s", hvlog.FirstOffset, 10, 0); err != nil || page.Next != hvlog.FirstOffset {
		t.Fatalf("read of an empty stream: %+v, %v", page, err)
	}
	if off, err := c.Append(t.Context(), "s", hv.Record{ID: "a/1", Kind: "k"}); err != nil || off != hvlog.FirstOffset {
		t.Fatalf("first append: %d, %v", off, err)
	}
	store.SetFaults(Faults{DropAppendResponses: 1})
	if _, err := c.Append(t.Context(), "s", hv.Record{ID: "a/2", Kind: "k"}); hv.KindOf(err) != hv.Uncertain {
		t.Errorf("append with lost response: error %v, want kind uncertain", err)
	}
	page, err := c.Read(t.Context(), "s", 2, 10, 0)
	if err != nil || len(page.Records) != 1 || page.Records[0].ID != "a/2" || page.Next != 3 {
		t.Errorf("read after a lost response: %+v, %v", page, err)
	}
	store.SetFaults(Faults{MaxRecords: 1})
	if page, err := c.Read(t.Context(), "s", 1, 10, 0); hv.KindOf(err) != hv.Expired || page.First != 2 {
		t.Errorf("read of expired records: %+v, %v", page, err)
	}
	store.SetFaults(Faults{Unavailable: true})
	if _, err := c.Append(t.Context(), "s", hv.Record{ID: "a/3", Kind: "k"}); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("append while the log service is down: error %v, want kind unavailable", err)
	}
}
