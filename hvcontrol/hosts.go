package hvcontrol

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvring"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// messageQueueSize bounds the queued messages to sides. A message that does
	// not fit is dropped; the shard owners send it again.
	messageQueueSize = 4096
	// maxConcurrentSends bounds the concurrent calls to sides.
	maxConcurrentSends = 32
	// sendTimeout bounds a call to a side.
	sendTimeout = 2 * time.Second
	// refreshInterval is how often hosts that are no longer alive are removed
	// from the placer.
	refreshInterval = 500 * time.Millisecond
)

type message struct {
	host   string
	method string
	body   any
}

// messenger implements hvshard.Hosts. It sends messages to sides in the
// background, so that the shard owners do not wait for the sides.
type messenger struct {
	control *Control
	queue   *hvring.Ring[message]
}

func newMessenger(c *Control) *messenger {
	return &messenger{control: c, queue: hvring.New[message](messageQueueSize)}
}

// Start implements hvshard.Hosts.
func (h *messenger) Start(host string, m hvwire.Start) { h.enqueue(host, hvwire.MethodStart, m) }

// Stop implements hvshard.Hosts.
func (h *messenger) Stop(host string, m hvwire.Stop) { h.enqueue(host, hvwire.MethodStop, m) }

// Throttle implements hvshard.Hosts.
func (h *messenger) Throttle(host string, m hvwire.Throttle) {
	h.enqueue(host, hvwire.MethodThrottle, m)
}

func (h *messenger) enqueue(host, method string, body any) {
	if !h.queue.Put(message{host, method, body}) {
		_ = h.control.Logger.Log("msg", "message to host dropped, the queue is full", "host", host, "method", method)
	}
}

func (h *messenger) run(ctx context.Context) {
	tokens := make(chan struct{}, maxConcurrentSends)
	for {
		m, err := h.queue.Take(ctx)
		if err != nil {
			return
		}
		select {
		case tokens <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-tokens }()
			h.send(ctx, m)
		}()
	}
}

func (h *messenger) send(ctx context.Context, m message) {
	side, alive := h.control.Members.Get(m.host)
	if !alive || side.Conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// The acknowledgement is empty: the outcome arrives as a report or in a
	// heartbeat. A side that refuses with kind Full reports the refusal.
	var ack struct{}
	if err := side.Conn.Call(ctx, m.method, m.body, &ack); err != nil && (hvwire.NotSent(err) || hv.KindOf(err) != hv.Full) {
		_ = h.control.Logger.Log("msg", "call to host failed", "host", m.host, "method", m.method, "err", err)
	}
}
