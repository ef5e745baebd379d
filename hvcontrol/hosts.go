package hvcontrol

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvring"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// messageQueueSize bounds the messages to sides that wait to be sent. The owners
	// repeat a message that found the queue full.
	messageQueueSize = 4096
	// maxConcurrentSends bounds the calls to sides in flight.
	maxConcurrentSends = 32
	// sendTimeout ends a call to a side that does not answer.
	sendTimeout = 2 * time.Second
	// refreshInterval is how often the placer's hosts follow the members.
	refreshInterval = 500 * time.Millisecond
)

type message struct {
	host   string
	method string
	body   any
}

// messenger implements hvshard.Hosts: it sends messages to sides without making
// the owners wait.
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
	// The answer that counts comes as a report or with a heartbeat.
	var ack struct{}
	if err := side.Conn.Call(ctx, m.method, m.body, &ack); err != nil && (hvwire.NotSent(err) || hv.KindOf(err) != hv.Full) {
		_ = h.control.Logger.Log("msg", "call to host failed", "host", m.host, "method", m.method, "err", err)
	}
}
