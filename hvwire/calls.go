package hvwire

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// maxCalls bounds the pending calls on one connection. The library keeps an
	// abandoned call until the peer responds to it. Each of the 64 connections of
	// an upstream can have a run and a settle call; the rest is for task calls.
	maxCalls = 512
	// maxCallBytes bounds the total size of the parameters of pending calls. More
	// than twenty bodies of the maximum size fit.
	maxCallBytes = 32 << 20
	// maxSilence is how long calls may be pending while nothing is received.
	maxSilence = 30 * time.Second
	// checkInterval is the time between two checks of the connection.
	checkInterval = 5 * time.Second
)

// pendingCalls tracks the calls of a connection that have no response yet.
type pendingCalls struct {
	mu     sync.Mutex
	lastID uint64
	sizes  map[uint64]int
	bytes  int
	// silentChecks counts the consecutive checks at which calls were pending and
	// nothing had been received since the check before. Unlike a time, a count of
	// checks does not attribute a pause of this process to the peer.
	silentChecks int
}

func newPendingCalls() *pendingCalls { return &pendingCalls{sizes: map[uint64]int{}} }

// add registers a call and returns its identifier, or an error of kind Full.
func (c *pendingCalls) add(method string, size int) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sizes) >= maxCalls || c.bytes+size > maxCallBytes {
		return 0, &Error{Op: method, Kind: hv.Full, Err: errors.Errorf("%d calls with %d bytes are pending on the connection", len(c.sizes), c.bytes), NotSent: true}
	}
	// The first identifier is 1, because the library treats 0 as not set.
	c.lastID++
	c.sizes[c.lastID] = size
	c.bytes += size
	return c.lastID, nil
}

func (c *pendingCalls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes -= c.sizes[id]
	delete(c.sizes, id)
}

// onReceive is called for every received message, before a response is passed to
// its call.
func (c *pendingCalls) onReceive(_ *jsonrpc2.Request, resp *jsonrpc2.Response) {
	c.mu.Lock()
	c.silentChecks = 0
	c.mu.Unlock()
	if resp != nil {
		c.remove(resp.ID.Num)
	}
}

// checkStalled counts a check and reports whether the peer is considered stalled.
func (c *pendingCalls) checkStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentChecks++; len(c.sizes) == 0 {
		c.silentChecks = 0
	}
	// The first check may come right after the call.
	return c.silentChecks > int(maxSilence/checkInterval)
}

// closeWhenStalled closes the connection once the peer is considered stalled.
func (c *Conn) closeWhenStalled() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-ticker.C:
			if c.pending.checkStalled() {
				_ = c.Close()
				return
			}
		}
	}
}
