package hvprocesstest

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Guards against test processes that get each other's addresses: a program then fails to
// listen, as the address is in use.
func TestProcessesGetDifferentAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 2 {
		b, err := claimBlock()
		if err != nil {
			t.Fatal(err)
		}
		defer b.lock.Close()
		for range 100 {
			addr, err := b.freeAddr()
			if err != nil {
				t.Fatal(err)
			}
			if seen[addr] {
				t.Fatalf("%s was returned twice", addr)
			}
			seen[addr] = true
		}
	}
}

// Guards against addresses that the system may give to any listener or connection of
// another process between the call and their use.
func TestAddressesAreNotEphemeral(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	lowest, err := strconv.Atoi(strings.Fields(string(text))[0])
	if err != nil {
		t.Fatal(err)
	}
	addr, err := FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := strconv.Atoi(port); err != nil || n >= lowest {
		t.Errorf("port %s, want one below %d", port, lowest)
	}
}
