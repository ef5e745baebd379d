package hvcontrol

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvlog/hvlogtest"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvplace"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
)

// steppedClock is a clock that only advance moves.
type steppedClock struct{ offset atomic.Int64 }

func (c *steppedClock) Now() time.Time { return time.Unix(1000, c.offset.Load()) }

func (c *steppedClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// peerGate is a gate whose peers are connected and whose other loops do not run.
func peerGate(t *testing.T, clock hv.Clock, name string, seeds ...string) (*Control, string) {
	t.Helper()
	c := New(Config{Name: name, Incarnation: name, Region: "r", SeedAddresses: seeds}, Deps{
		Log: hvlogtest.New(clock, 1), Clock: clock, Members: hvmember.New(clock),
		Placer: hvplace.New(hvplace.Options{Clock: clock, Prefer: hv.Throughput, Violations: func(int, string) {}}),
		Health: hvhealth.New(hvhealth.Options{HostCount: func() int { return 1 }}),
		Logger: log.NewNopLogger(), Mux: hvwire.Mux{}, Violations: func(int, string) {},
	})
	c.quorum.SetGates([]string{"g1", "g2", "g3"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.peers.Run(ctx)
	return c, hvwiretest.Serve(t, c.Mux)
}

func hear(t *testing.T, c *Control, incarnations ...string) {
	t.Helper()
	for _, incarnation := range incarnations {
		if err := c.Members.Announce(hvwire.Announce{Host: hv.Host{Name: incarnation}, Incarnation: incarnation, Service: "label"}, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a gate that loses its path to the sides one after the other and
// moves the key slots of sides that the other gates hear, and against a move while
// too few gates respond to tell. A side that no gate hears must not stay unconfirmed.
func TestSilentSidesAreConfirmedByPeers(t *testing.T) {
	clock := &steppedClock{}
	g3, addr3 := peerGate(t, clock, "g3")
	g2, addr2 := peerGate(t, clock, "g2")
	g1, _ := peerGate(t, clock, "g1", addr2, addr3)
	hear(t, g3, "other")
	silent := []string{"cut", "lost"}
	check := func(what string, want ...string) {
		t.Helper()
		var got []string
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			if got = g1.unconfirmedLosses(t.Context(), silent); slices.Equal(got, want) {
				return
			}
		}
		t.Errorf("%s: unconfirmed losses are %v, want %v", what, got, want)
	}
	if got := g1.unconfirmedLosses(t.Context(), nil); got != nil {
		t.Errorf("unconfirmed losses without silent sides: %v", got)
	}
	check("the other gates have just started", "cut", "lost")
	clock.advance(hvmember.HeartbeatTimeout)
	hear(t, g2, "cut")
	check("one of two gates hears a side", "cut")
	clock.advance(hvmember.HeartbeatTimeout)
	check("no gate hears the sides")
	g1.quorum.SetGates([]string{"g1", "g2", "g3", "g4", "g5", "g6"})
	check("three of six gates respond", "cut", "lost")
}

// Guards against owners that are asked about although they are heard, and against
// silent owners that are missed.
func TestSilentOwners(t *testing.T) {
	var slots [hvkey.SlotCount]hvkey.SlotState
	for i := range slots {
		slots[i].Owner = []string{"active", "leaving", "silent", ""}[i%4]
	}
	got := silentOwners(slots, serviceSides{active: []string{"active", "other"}, leaving: []string{"leaving"}})
	if !slices.Equal(got, []string{"silent"}) {
		t.Errorf("silent owners are %v, want silent only", got)
	}
}
