package hventry

import (
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// catalogConsumer holds the newest catalog that operators have published. It
// ignores catalogs with an older version.
type catalogConsumer struct {
	recordKey string
	decode    func([]byte) (*hvjob.Catalog, error)
	logger    log.Logger
	onChange  func(*hvjob.Catalog)
	current   atomic.Pointer[hvjob.Catalog]

	mu         sync.Mutex
	nextOffset int64
}

func newCatalogConsumer(key string, decode func([]byte) (*hvjob.Catalog, error), logger log.Logger, onChange func(*hvjob.Catalog)) *catalogConsumer {
	return &catalogConsumer{recordKey: key, decode: decode, logger: logger, onChange: onChange}
}

// Load implements hvledger.Consumer.
func (c *catalogConsumer) Load(page hv.KeyedPage) {
	for _, r := range page.Records {
		c.applyRecord(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextOffset = max(c.nextOffset, page.Next)
}

// Apply implements hvledger.Consumer.
func (c *catalogConsumer) Apply(page hv.KeyedPage) {
	for _, r := range page.Records {
		c.applyRecord(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextOffset = max(c.nextOffset, page.Next)
}

// Next implements hvledger.Consumer.
func (c *catalogConsumer) Next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextOffset
}

// ReadFailed implements hvledger.Consumer. The current catalog stays in
// effect.
func (c *catalogConsumer) ReadFailed() {}

func (c *catalogConsumer) applyRecord(r hv.KeyedRecord) {
	if r.Key != c.recordKey || len(r.Value) == 0 {
		return
	}
	newest, err := c.decode(r.Value)
	if err != nil {
		_ = level.Error(c.logger).Log("msg", "published catalog cannot be decoded; current one stays in effect", "offset", r.Offset, "err", err)
		return
	}
	if old := c.current.Load(); old != nil && newest.Version <= old.Version {
		return
	}
	c.current.Store(newest)
	_ = level.Info(c.logger).Log("msg", "new catalog took effect", "version", newest.Version, "offset", r.Offset)
	c.onChange(newest)
}
