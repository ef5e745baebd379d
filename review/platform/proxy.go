package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// lateAppend carries an append out 1 to 6 s after it was sent.
func (b *bed) lateAppend(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := httptest.NewRequest(http.MethodPost, r.URL.String(), bytes.NewReader(body))
	time.AfterFunc(time.Second+time.Duration(rand.Int64N(int64(5*time.Second))), func() { b.store.ServeHTTP(httptest.NewRecorder(), again) })
}

// proxy is a TCP proxy that can be cut.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setCut cuts all connections silently, or joins the path again. Connections that were cut
// stay silent until then and are reset.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		return
	}
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.conns = map[net.Conn]bool{}
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	go p.pipe(c, up)
	p.pipe(up, c)
}

func (p *proxy) pipe(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if p.isCut() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.mu.Unlock()
}
