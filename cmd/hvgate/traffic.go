package main

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// dialTimeout bounds a connection attempt to the log service.
const dialTimeout = 2 * time.Second

// trafficCounter counts the bytes sent and received on the connections that it
// dials.
type trafficCounter struct {
	sent, received atomic.Int64
}

func (t *trafficCounter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: t}, nil
}

type countedConn struct {
	net.Conn
	traffic *trafficCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
