package hvwire

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// maxCalls bounds the calls without an answer on one connection. The
	// library keeps a call that was abandoned until the peer answers it. Each
	// of the 64 connections of an upstream can have a run and a settle call;
	// the rest leaves room for tasks.
	maxCalls = 512
	// maxCallBytes bounds the parameters that these calls hold. It is room for
	// more than twenty bodies of the greatest size.
	maxCallBytes = 32 << 20
	// maxQuiet is how long a call may be unanswered while nothing is received.
	maxQuiet = 30 * time.Second
	// watchInterval is the time between two looks at the connection.
	watchInterval = 5 * time.Second
)

// calls counts the calls of a connection that are not answered.
type calls struct {
	mu    sync.Mutex
	last  uint64
	sizes map[uint64]int
	bytes int
	// quiet counts the looks in a row at which calls were unanswered and
	// nothing had been received. A count of looks, unlike a time, does not
	// blame the peer while this process is paused.
	quiet int
}

func newCalls() *calls { return &calls{sizes: map[uint64]int{}} }

// begin counts a call and returns its identifier, or an error of kind Full.
func (c *calls) begin(method string, size int) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sizes) >= maxCalls || c.bytes+size > maxCallBytes {
		return 0, &Error{Op: method, Kind: hv.Full, Err: errors.Errorf("%d calls with %d bytes are unanswered on the connection", len(c.sizes), c.bytes), NotSent: true}
	}
	// The library takes 0 for an identifier that is not set.
	c.last++
	c.sizes[c.last] = size
	c.bytes += size
	return c.last, nil
}

func (c *calls) end(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes -= c.sizes[id]
	delete(c.sizes, id)
}

// received is called for every message before a call gets its answer.
func (c *calls) received(_ *jsonrpc2.Request, ans *jsonrpc2.Response) {
	c.mu.Lock()
	c.quiet = 0
	c.mu.Unlock()
	if ans != nil {
		c.end(ans.ID.Num)
	}
}

// hung reports at each look whether the peer has gone quiet.
func (c *calls) hung() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quiet++; len(c.sizes) == 0 {
		c.quiet = 0
	}
	// The first look may follow at once on the call.
	return c.quiet > int(maxQuiet/watchInterval)
}

// watch ends the connection to a peer that has gone quiet.
func (c *Conn) watch() {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-tick.C:
			if c.calls.hung() {
				_ = c.Close()
				return
			}
		}
	}
}
