package hventry

import (
	"slices"
	"testing"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

func newTestConsumer(onChange func()) *operatorConsumer {
	decode := func(b []byte) (*hvjob.Catalog, error) {
		return hvjob.NewCatalog(int64(b[0]-'0'), nil, nil, hvjob.Limits{}), nil
	}
	return newOperatorConsumer(OperatorRecords{CatalogKey: "config", EvacuationPrefix: "evacuate/", DecodeCatalog: decode}, log.NewNopLogger(), onChange)
}

func zoneRecord(zone, value string, offset int64) hv.KeyedRecord {
	return hv.KeyedRecord{Key: "evacuate/" + zone, Value: []byte(value), Offset: offset}
}

// Guards against evacuations that are missed, that end by an older record or never,
// and against a catalog that a gate knows before the zones published with it.
func TestEvacuatedZones(t *testing.T) {
	var c *operatorConsumer
	changes := 0
	c = newTestConsumer(func() {
		changes++
		if c.catalog.Load() != nil && len(c.evacuatedZones()) == 0 && changes == 1 {
			t.Error("the catalog took effect before the evacuation in the same page")
		}
	})
	expect := func(what string, want ...string) {
		t.Helper()
		if got := c.evacuatedZones(); !slices.Equal(got, want) {
			t.Errorf("%s: evacuated zones are %v, want %v", what, got, want)
		}
	}
	c.Load(hv.KeyedPage{Next: 5, Records: []hv.KeyedRecord{{Key: "config", Value: []byte("1"), Offset: 2}, zoneRecord("a", "{}", 6), zoneRecord("b", "x", 4), zoneRecord("", "{}", 3)}})
	expect("after the load", "a", "b")
	c.Apply(hv.KeyedPage{Next: 7, Records: []hv.KeyedRecord{zoneRecord("a", "", 5), zoneRecord("a", "{}", 6)}})
	expect("after a record from before the load", "a", "b")
	before := changes
	c.Apply(hv.KeyedPage{Next: 8, Records: []hv.KeyedRecord{zoneRecord("a", "{}", 7)}})
	if changes != before {
		t.Error("a repeated evacuation counts as a change")
	}
	c.Apply(hv.KeyedPage{Next: 9, Records: []hv.KeyedRecord{zoneRecord("a", "", 8)}})
	expect("after one zone was taken back", "b")
	c.Apply(hv.KeyedPage{Next: 11, Records: []hv.KeyedRecord{zoneRecord("c", "{}", 10)}})
	c.Load(hv.KeyedPage{Next: 10, Records: []hv.KeyedRecord{{Key: "config", Value: []byte("2"), Offset: 9}}})
	expect("after a load without b that is older than c", "c")
	if c.catalog.Load().Version != 2 {
		t.Errorf("catalog version is %d, want 2", c.catalog.Load().Version)
	}
}
