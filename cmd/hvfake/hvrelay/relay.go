// Package hvrelay forwards TCP connections and can cut each direction, as a
// faulty network does: bytes are held back while the connections stay open, and
// new connections reach the other end only when no direction is cut.
package hvrelay

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxConnections bounds the connections that are forwarded at a time.
	maxConnections = 256
	bufferBytes    = 32 << 10
	dialTimeout    = 5 * time.Second
	maxFaultsBytes = 1 << 10
)

// Faults are the directions that are cut.
type Faults struct {
	// BlockRequests holds back what the dialing side sends.
	BlockRequests bool `json:"there,omitempty"`
	// BlockResponses holds back the answers.
	BlockResponses bool `json:"back,omitempty"`
}

// Relay forwards connections to one address.
type Relay struct {
	to    string
	limit chan struct{}

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// New returns a relay to an address.
func New(to string) *Relay {
	return &Relay{to: to, limit: make(chan struct{}, maxConnections), changed: make(chan struct{})}
}

// Serve forwards the connections to an address until it can't be listened on.
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
		r.limit <- struct{}{}
		go func() {
			defer func() { <-r.limit }()
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

// SetFaults replaces the directions that are cut.
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
	// A handshake needs both directions.
	if !r.wait(nil, func(f Faults) bool { return f.BlockRequests || f.BlockResponses }) {
		return
	}
	to, err := net.DialTimeout("tcp", r.to, dialTimeout)
	if err != nil {
		return
	}
	defer to.Close()
	ended := make(chan struct{})
	var wg sync.WaitGroup
	var once sync.Once
	end := func() { once.Do(func() { close(ended); c.Close(); to.Close() }) }
	wg.Go(func() { defer end(); r.copy(to, c, ended, func(f Faults) bool { return f.BlockRequests }) })
	wg.Go(func() { defer end(); r.copy(c, to, ended, func(f Faults) bool { return f.BlockResponses }) })
	wg.Wait()
}

// copy moves bytes while its direction is not cut.
func (r *Relay) copy(dst, src net.Conn, ended <-chan struct{}, cut func(Faults) bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if !r.wait(ended, cut) {
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

// wait returns true when the direction is open, and false when the connection
// has ended.
func (r *Relay) wait(ended <-chan struct{}, cut func(Faults) bool) bool {
	for {
		r.mu.Lock()
		f, changed := r.faults, r.changed
		r.mu.Unlock()
		if !cut(f) {
			return true
		}
		select {
		case <-ended:
			return false
		case <-changed:
		}
	}
}
