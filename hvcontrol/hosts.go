package hvcontrol

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvring"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// hostQueue bounds the messages to sides that wait to be sent. The owners
	// repeat a message that found the queue full.
	hostQueue = 4096
	// hostSenders bounds the calls to sides in flight.
	hostSenders = 32
	// hostTimeout ends a call to a side that does not answer.
	hostTimeout = 2 * time.Second
	// refreshInterval is how often the placer's hosts follow the members.
	refreshInterval = 500 * time.Millisecond
)

type message struct {
	host   string
	method string
	body   any
}

// hosts implements hvshard.Hosts: it sends messages to sides without making
// the owners wait.
type hosts struct {
	control *Control
	queue   *hvring.Ring[message]
}

func newHosts(c *Control) *hosts {
	return &hosts{control: c, queue: hvring.New[message](hostQueue)}
}

// Start implements hvshard.Hosts.
func (h *hosts) Start(host string, m hvwire.Start) { h.put(host, hvwire.MethodStart, m) }

// Stop implements hvshard.Hosts.
func (h *hosts) Stop(host string, m hvwire.Stop) { h.put(host, hvwire.MethodStop, m) }

// Throttle implements hvshard.Hosts.
func (h *hosts) Throttle(host string, m hvwire.Throttle) { h.put(host, hvwire.MethodThrottle, m) }

func (h *hosts) put(host, method string, body any) {
	if !h.queue.Put(message{host, method, body}) {
		_ = h.control.Logger.Log("msg", "message to host dropped, the queue is full", "host", host, "method", method)
	}
}

func (h *hosts) run(ctx context.Context) {
	slots := make(chan struct{}, hostSenders)
	for {
		m, err := h.queue.Take(ctx)
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			h.send(ctx, m)
		}()
	}
}

func (h *hosts) send(ctx context.Context, m message) {
	side, alive := h.control.Members.Get(m.host)
	if !alive || side.Conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	// The answer that counts comes as a report or with a heartbeat.
	var ack struct{}
	if err := side.Conn.Call(ctx, m.method, m.body, &ack); err != nil && (hvwire.NotSent(err) || hv.KindOf(err) != hv.Full) {
		_ = h.control.Logger.Log("msg", "call to host failed", "host", m.host, "method", m.method, "err", err)
	}
}
