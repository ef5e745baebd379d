package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// slowLink is a proxy before the store that passes on what the store sends at the rate of the
// link of a machine. It loses and changes nothing.
type slowLink struct {
	target         string
	bytesPerSecond int64

	mu   sync.Mutex
	next time.Time
}

const (
	bitsPerByte = 8
	linkChunk   = 4 << 10
)

func (w *world) serveSlowLink(addr, target string, mbps int64) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	w.links = append(w.links, l)
	s := &slowLink{target: target, bytesPerSecond: mbps * 1_000_000 / bitsPerByte}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

func (s *slowLink) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	t, err := net.Dial("tcp", s.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	go func() {
		_, _ = io.Copy(t, c)
		_ = t.Close()
	}()
	buf := make([]byte, linkChunk)
	for {
		n, err := t.Read(buf)
		if n > 0 {
			s.take(n)
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// take waits until the link has passed on a number of bytes.
func (s *slowLink) take(n int) {
	s.mu.Lock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
	wait := s.next.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
}
