package hventry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// OperatorRecords names the records that operators publish.
type OperatorRecords struct {
	// Topic is the topic of the records, and CatalogKey the key of the catalog in it.
	Topic, CatalogKey string
	// EvacuationPrefix and the name of a zone form the key of the evacuation of that
	// zone; it lasts as long as the key exists.
	EvacuationPrefix string
	// DecodeCatalog decodes a published catalog.
	DecodeCatalog func([]byte) (*hvjob.Catalog, error)
}

// operatorConsumer holds what operators have published: the newest catalog and the
// evacuated zones. It ignores catalogs with an older version.
type operatorConsumer struct {
	records  OperatorRecords
	logger   log.Logger
	onChange func()
	catalog  atomic.Pointer[hvjob.Catalog]

	mu         sync.Mutex
	nextOffset int64
	// evacuated holds, by zone, the offset of the record that evacuated it.
	evacuated map[string]int64
}

func newOperatorConsumer(records OperatorRecords, logger log.Logger, onChange func()) *operatorConsumer {
	return &operatorConsumer{records: records, logger: logger, onChange: onChange, evacuated: map[string]int64{}}
}

// Load implements hvledger.Consumer. A zone whose key is not among the newest records
// is no longer evacuated.
func (c *operatorConsumer) Load(page hv.KeyedPage) {
	listed := map[string]bool{}
	for _, r := range page.Records {
		listed[r.Key] = true
	}
	c.mu.Lock()
	removed := false
	for zone, offset := range c.evacuated {
		if !listed[c.records.EvacuationPrefix+zone] && offset < page.Next {
			delete(c.evacuated, zone)
			removed = true
			c.logEvacuation(zone, offset, false)
		}
	}
	c.mu.Unlock()
	if removed {
		c.onChange()
	}
	c.Apply(page)
}

// Apply implements hvledger.Consumer. It applies evacuations before the catalog, so
// that a gate with a catalog knows the evacuated zones too.
func (c *operatorConsumer) Apply(page hv.KeyedPage) {
	for _, r := range page.Records {
		if zone, ok := strings.CutPrefix(r.Key, c.records.EvacuationPrefix); ok && zone != "" {
			c.applyEvacuation(zone, r)
		}
	}
	for _, r := range page.Records {
		if r.Key == c.records.CatalogKey && len(r.Value) > 0 {
			c.applyCatalog(r)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextOffset = max(c.nextOffset, page.Next)
}

// Next implements hvledger.Consumer.
func (c *operatorConsumer) Next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextOffset
}

// Loading implements hvledger.Consumer. Each record takes effect at once.
func (c *operatorConsumer) Loading() bool { return false }

// ReadFailed implements hvledger.Consumer. The current state stays in effect.
func (c *operatorConsumer) ReadFailed() {}

// evacuatedZones returns the evacuated zones, sorted.
func (c *operatorConsumer) evacuatedZones() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.evacuated))
}

// applyEvacuation begins the evacuation of a zone, or ends it if the record deletes
// the key. A record older than the one in effect is skipped: the page of a load may
// hold records that are read again after it.
func (c *operatorConsumer) applyEvacuation(zone string, r hv.KeyedRecord) {
	c.mu.Lock()
	offset, evacuated := c.evacuated[zone]
	begins := len(r.Value) > 0
	if evacuated && r.Offset < offset || !evacuated && !begins {
		c.mu.Unlock()
		return
	}
	if begins {
		c.evacuated[zone] = r.Offset
	} else {
		delete(c.evacuated, zone)
	}
	c.mu.Unlock()
	if begins != evacuated {
		c.logEvacuation(zone, r.Offset, begins)
		c.onChange()
	}
}

func (c *operatorConsumer) logEvacuation(zone string, offset int64, begins bool) {
	_ = level.Info(c.logger).Log("msg", "evacuation of a zone began or ended", "zone", zone, "evacuated", begins, "offset", offset)
}

func (c *operatorConsumer) applyCatalog(r hv.KeyedRecord) {
	newest, err := c.records.DecodeCatalog(r.Value)
	if err != nil {
		_ = level.Error(c.logger).Log("msg", "published catalog cannot be decoded; current one stays in effect", "offset", r.Offset, "err", err)
		return
	}
	if old := c.catalog.Load(); old != nil && newest.Version <= old.Version {
		return
	}
	c.catalog.Store(newest)
	_ = level.Info(c.logger).Log("msg", "new catalog took effect", "version", newest.Version, "offset", r.Offset)
	c.onChange()
}
