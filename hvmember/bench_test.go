package hvmember_test

import (
	"fmt"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// instances is the typical number of sides of a service.
const instances = 11

// BenchmarkUsable measures the lookup of one request among the hosts of other
// services.
func BenchmarkUsable(b *testing.B) {
	for _, hosts := range []int{11, 100, 790} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			m := hvmember.New(&clock{now: time.Unix(1000, 0)})
			for i := range hosts {
				a := hvwire.Announce{
					Host:        hv.Host{Name: fmt.Sprintf("h%03d", i*7919%hosts)},
					Incarnation: fmt.Sprint(i), Service: fmt.Sprint("s", i/instances), Slots: 8,
				}
				if err := m.Announce(a, &conn{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if n := len(m.Usable("s0")); n != instances {
					b.Fatalf("%d sides, want %d", n, instances)
				}
			}
		})
	}
}
