// Package hvrelay forwards TCP connections and can block each direction, as a
// faulty network does: bytes are held back while the connections stay open, and
// new connections reach the target only when no direction is blocked.
package hvrelay

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxConnections bounds the connections that are forwarded at the same time.
	maxConnections = 256
	bufferBytes    = 32 << 10
	dialTimeout    = 5 * time.Second
	maxFaultsBytes = 1 << 10
)

// Faults are the directions that are blocked.
type Faults struct {
	// BlockRequests holds back the bytes from the client to the target.
	BlockRequests bool `json:"there,omitempty"`
	// BlockResponses holds back the bytes from the target to the client.
	BlockResponses bool `json:"back,omitempty"`
}

// Relay forwards connections to one address.
type Relay struct {
	target      string
	connections chan struct{}

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// New returns a relay to an address.
func New(target string) *Relay {
	return &Relay{target: target, connections: make(chan struct{}, maxConnections), changed: make(chan struct{})}
}

// Serve listens on an address and forwards its connections until listening
// fails.
func (r *Relay) Serve(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer l.Close()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		r.connections <- struct{}{}
		go func() {
			defer func() { <-r.connections }()
			r.forward(c)
		}()
	}
}

// Handler serves PUT /faults.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, q *http.Request) {
		var f Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxFaultsBytes)).Decode(&f); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		r.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// SetFaults replaces the directions that are blocked.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// forward copies both directions until one of them ends.
func (r *Relay) forward(c net.Conn) {
	defer c.Close()
	// A TCP handshake needs both directions.
	if !r.waitUntilOpen(nil, func(f Faults) bool { return f.BlockRequests || f.BlockResponses }) {
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	defer target.Close()
	closed := make(chan struct{})
	var wg sync.WaitGroup
	var once sync.Once
	closeBoth := func() { once.Do(func() { close(closed); c.Close(); target.Close() }) }
	wg.Go(func() { defer closeBoth(); r.copy(target, c, closed, func(f Faults) bool { return f.BlockRequests }) })
	wg.Go(func() { defer closeBoth(); r.copy(c, target, closed, func(f Faults) bool { return f.BlockResponses }) })
	wg.Wait()
}

// copy copies bytes while its direction is not blocked.
func (r *Relay) copy(dst, src net.Conn, closed <-chan struct{}, blocked func(Faults) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if !r.waitUntilOpen(closed, blocked) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilOpen returns true once the direction is not blocked, and false when
// the connection has ended.
func (r *Relay) waitUntilOpen(closed <-chan struct{}, blocked func(Faults) bool) bool {
	for {
		r.mu.Lock()
		f, changed := r.faults, r.changed
		r.mu.Unlock()
		if !blocked(f) {
			return true
		}
		select {
		case <-closed:
			return false
		case <-changed:
		}
	}
}
