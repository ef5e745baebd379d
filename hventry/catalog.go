package hventry

import (
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// catalogs holds the newest catalog that operators have published. It never
// goes back to an older version.
type catalogs struct {
	key     string
	decode  func([]byte) (*hvjob.Catalog, error)
	logger  log.Logger
	changed func(*hvjob.Catalog)
	now     atomic.Pointer[hvjob.Catalog]

	mu   sync.Mutex
	next int64
}

func newCatalogs(key string, decode func([]byte) (*hvjob.Catalog, error), logger log.Logger, changed func(*hvjob.Catalog)) *catalogs {
	return &catalogs{key: key, decode: decode, logger: logger, changed: changed}
}

// Load implements hvledger.Target.
func (c *catalogs) Load(page hv.KeyedPage) {
	for _, r := range page.Records {
		c.apply(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, page.Next)
}

// Apply implements hvledger.Target.
func (c *catalogs) Apply(page hv.KeyedPage) {
	for _, r := range page.Records {
		c.apply(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, page.Next)
}

// Next implements hvledger.Target.
func (c *catalogs) Next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// ReadFailed implements hvledger.Target. The catalog in force stays.
func (c *catalogs) ReadFailed() {}

func (c *catalogs) apply(r hv.KeyedRecord) {
	if r.Key != c.key || len(r.Value) == 0 {
		return
	}
	cat, err := c.decode(r.Value)
	if err != nil {
		_ = level.Error(c.logger).Log("msg", "catalog cannot be decoded", "offset", r.Offset, "err", err)
		return
	}
	if old := c.now.Load(); old != nil && cat.Version <= old.Version {
		return
	}
	c.now.Store(cat)
	_ = level.Info(c.logger).Log("msg", "catalog is in force", "version", cat.Version, "offset", r.Offset)
	c.changed(cat)
}
