// Package hvwiretest serves connections in tests.
package hvwiretest

import (
	"net"
	"testing"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Serve accepts connections on a free address of the loopback network until the test
// ends, and returns the address.
func Serve(t testing.TB, mux hvwire.Mux) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			hvwire.NewConn(c, mux)
		}
	}()
	return l.Addr().String()
}
