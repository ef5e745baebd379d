package hvmember_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// The seed and the number of checks are fixed, so that all runs are the same.
func init() {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Guards against an index by service that differs from the table after sides
// change their service, leave or are removed, and against a cached snapshot with
// an old heartbeat.
func TestUsableMatchesScan(t *testing.T) {
	t.Log("seed 5")
	services := []string{"labels", "sheets", ""}
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: time.Unix(1000, 0)}
		m := hvmember.New(c)
		conns := map[string]*conn{}
		sequence := uint64(0)
		host := func(t *rapid.T) string { return fmt.Sprint("h", rapid.IntRange(0, 5).Draw(t, "host")) }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				h := host(t)
				conns[h] = &conn{}
				a := hvwire.Announce{Host: hv.Host{Name: h}, Incarnation: h, Service: rapid.SampledFrom(services).Draw(t, "service")}
				if err := m.Announce(a, conns[h]); err != nil {
					t.Fatal(err)
				}
			},
			"beat": func(t *rapid.T) {
				h := host(t)
				sequence++
				_ = m.Heartbeat(hvwire.Heartbeat{Incarnation: h, Sequence: sequence, Running: int(sequence)}, conns[h])
			},
			"leave": func(t *rapid.T) { m.Leave(hvwire.Leave{Incarnation: host(t)}) },
			"pass": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.SampledFrom([]int{1, 2, 700}).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) { compareUsable(t, m, services) },
		})
	})
}

// compareUsable compares the result of Usable with a scan of all sides.
func compareUsable(t *rapid.T, m *hvmember.Table, services []string) {
	for _, service := range services {
		var want, got []string
		for _, s := range m.Alive() {
			if s.Service == service && s.LeavingSince.IsZero() {
				want = append(want, fmt.Sprint(s.Host.Name, s.Heartbeat.Running))
			}
		}
		for _, s := range m.Usable(service) {
			got = append(got, fmt.Sprint(s.Host.Name, s.Heartbeat.Running))
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("service %q: usable sides are %v, a scan finds %v", service, got, want)
		}
		if len(got) > 0 && !m.Known(service) {
			t.Fatalf("service %q has usable sides but is not known", service)
		}
	}
}
