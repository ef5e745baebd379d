package hvslot

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Limits of the cached responses. The cache only serves gates that lost a
// response; for a request that ran but is not in the cache, settle returns
// unknown.
const (
	maxResponses     = 1024
	maxResponseBytes = 8 << 20
)

type cachedResponse struct {
	hv.Response
	at time.Time
}

// responseCache keeps the newest responses for settleRetention.
type responseCache struct {
	byID  map[string]cachedResponse
	order []string
	bytes int
}

func newResponseCache() *responseCache { return &responseCache{byID: map[string]cachedResponse{}} }

func (c *responseCache) add(resp hv.Response, now time.Time) {
	if _, ok := c.byID[resp.ID]; ok || len(resp.Body) > maxResponseBytes {
		return
	}
	c.byID[resp.ID] = cachedResponse{resp, now}
	c.order = append(c.order, resp.ID)
	c.bytes += len(resp.Body)
	for len(c.order) > maxResponses || c.bytes > maxResponseBytes || now.Sub(c.byID[c.order[0]].at) > settleRetention {
		oldest := c.order[0]
		c.bytes -= len(c.byID[oldest].Body)
		delete(c.byID, oldest)
		c.order = c.order[1:]
	}
}
