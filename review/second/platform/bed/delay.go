package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// delayTimeout limits a call that the proxy passes on.
const delayTimeout = 5 * time.Second

// delayProxy passes the calls of a side on to its minion. It can hold the next start back: the
// side gets no response, and the call arrives at the address of the minion later.
type delayProxy struct {
	addr, target string
	rec          *recorder

	mu     sync.Mutex
	server *http.Server
	// delay is how long the next start is held back, or 0.
	delay time.Duration
}

// open accepts calls.
func (p *delayProxy) open() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = &http.Server{Handler: p}
	server := p.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// close ends all connections and refuses others, as a minion does that has ended. Starts that
// are held back arrive all the same.
func (p *delayProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
}

// holdNextStart holds the next start back.
func (p *delayProxy) holdNextStart(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// takeDelay returns for how long a call is held back.
func (p *delayProxy) takeDelay(path string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path != "/run-start" {
		return 0
	}
	delay := p.delay
	p.delay = 0
	return delay
}

// ServeHTTP implements http.Handler.
func (p *delayProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if delay := p.takeDelay(r.URL.Path); delay > 0 {
		p.rec.log("a start gets no response and arrives %v later: %s", delay, body)
		header := r.Header.Clone()
		time.AfterFunc(delay, func() {
			status, answer := p.pass(context.Background(), r.Method, r.URL, header, body)
			p.rec.log("the late start arrives at %s: %d %s", p.target, status, answer)
		})
		<-r.Context().Done()
		return
	}
	status, answer := p.pass(r.Context(), r.Method, r.URL, r.Header, body)
	if status == 0 {
		// The minion is not there: its side finds the connection closed.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// pass makes a call and returns its response, or status 0.
func (p *delayProxy) pass(ctx context.Context, method string, u *url.URL, header http.Header, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, delayTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.target+u.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header = header.Clone()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
