package hvquorum

import (
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

const (
	lease  = 10 * time.Second
	margin = 500 * time.Millisecond
)

func newTrackers(c *fakeClock) map[string]*Tracker {
	names := []string{"a", "b", "c"}
	all := map[string]*Tracker{}
	for _, name := range names {
		all[name] = New(Config{Gate: name, Incarnation: name + "1", LeaseDuration: lease, ClockMargin: margin}, c, names)
	}
	return all
}

func streamName(int) string { return "s" }

// Guards against leases that end later than the confirmation of the epoch allows.
func TestReadConfirms(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	a := newTrackers(c)["a"]
	if _, ok := a.RenewUntil("s", 0); ok {
		t.Fatal("confirmed before the first read")
	}
	start := c.now
	c.advance(3 * time.Second)
	a.RecordEpoch("s", 4)
	a.RecordRead("s", start)
	if leaseEnd, ok := a.RenewUntil("s", 4); !ok || !leaseEnd.Equal(start.Add(lease)) {
		t.Fatalf("RenewUntil returns %s, %t", leaseEnd, ok)
	}
	if _, ok := a.RenewUntil("s", 3); ok {
		t.Fatal("confirmed for an older epoch")
	}
	c.advance(7 * time.Second)
	if _, ok := a.RenewUntil("s", 4); ok {
		t.Fatal("confirmed after the lease duration")
	}
}

// Guards against rounds that confirm an epoch although one gate of the majority
// knows a newer epoch, reaches the log or has not loaded the stream.
func TestRound(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(b *Tracker, c *fakeClock)
		want    bool
	}{
		{"log not reachable either", func(b *Tracker, c *fakeClock) { b.RecordRead("s", c.now) }, true},
		{"not loaded", func(*Tracker, *fakeClock) {}, false},
		{"newer epoch read", func(b *Tracker, c *fakeClock) { b.RecordEpoch("s", 2); b.RecordRead("s", c.now) }, false},
		{"newer epoch in a heartbeat", func(b *Tracker, c *fakeClock) {
			b.RecordRead("s", c.now)
			b.RecordHeartbeat(hvwire.PeerHeartbeat{Name: "c", Epochs: []int64{2}, NextKeysOffset: -1}, streamName)
		}, false},
		{"reaches the log", func(b *Tracker, c *fakeClock) { c.advance(lease); b.RecordRead("s", c.now) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &fakeClock{now: time.Unix(1000, 0)}
			all := newTrackers(c)
			a, b := all["a"], all["b"]
			a.RecordEpoch("s", 1)
			a.RecordRead("s", c.now)
			test.prepare(b, c)
			if test.name != "reaches the log" {
				c.advance(lease)
			}
			req := a.BeginRound("s")
			a.RecordResponse("s", "b", b.Confirm(req))
			if _, ok := a.RenewUntil("s", 1); ok != test.want {
				t.Fatalf("epoch confirmed by a round: %t", ok)
			}
			if _, ok := a.StartUntil("s", 1); ok {
				t.Fatal("a round must not permit a start")
			}
		})
	}
}

// Guards against a restarted gate that lost a newer epoch and confirms a round of
// the older owner, which then renews leases that the newer owner counts as expired.
func TestLoadedFromPeer(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	b := newTrackers(c)["b"]
	b.LoadedFromPeer("s")
	c.advance(lease + margin - 1)
	if b.Confirm(hvwire.Confirm{Stream: "s"}).Loaded {
		t.Fatal("confirms rounds before the leases have expired")
	}
	c.advance(1)
	if !b.Confirm(hvwire.Confirm{Stream: "s"}).Loaded {
		t.Fatal("does not confirm rounds after the leases have expired")
	}
}

// Guards against a majority that is counted too early or that includes a gate that
// has since lost the epoch in a restart.
func TestAcknowledged(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	a := newTrackers(c)["a"]
	a.RecordEpoch("s", 2)
	c.advance(time.Second)
	a.RecordHeartbeat(hvwire.PeerHeartbeat{Name: "b", Incarnation: "b1", Epochs: []int64{1}, NextKeysOffset: -1}, streamName)
	a.RecordHeartbeat(hvwire.PeerHeartbeat{Name: "stranger", Epochs: []int64{2}, NextKeysOffset: -1}, streamName)
	if _, ok := a.AcknowledgedSince("s", 2); ok {
		t.Fatal("one gate of three counts as a majority")
	}
	c.advance(time.Second)
	want := c.now
	a.RecordHeartbeat(hvwire.PeerHeartbeat{Name: "b", Incarnation: "b1", Epochs: []int64{2}, NextKeysOffset: -1}, streamName)
	c.advance(time.Second)
	a.RecordHeartbeat(hvwire.PeerHeartbeat{Name: "b", Incarnation: "b1", Epochs: []int64{2}, NextKeysOffset: -1}, streamName)
	if since, ok := a.AcknowledgedSince("s", 2); !ok || !since.Equal(want) {
		t.Fatalf("acknowledged since %s, %t", since, ok)
	}
	a.RecordHeartbeat(hvwire.PeerHeartbeat{Name: "b", Incarnation: "b2", NextKeysOffset: -1}, streamName)
	if _, ok := a.AcknowledgedSince("s", 2); ok {
		t.Fatal("a restarted gate still counts")
	}
}

// Guards against the loss of one of two gates blocking the other permanently, and
// against counting one gate of two when a list of three gates is in force.
func TestAcknowledgedByOneOfTwo(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	a := newTrackers(c)["a"]
	a.SetGates([]string{"a", "b"})
	a.RecordEpoch("s", 2)
	since := c.now
	a.RecordRead(SettingsStream, c.now)
	if _, ok := a.AcknowledgedSince("s", 2); ok {
		t.Fatal("acknowledged although the settings were read before, so there may be a third gate")
	}
	c.advance(time.Second)
	a.RecordRead(SettingsStream, c.now)
	if got, ok := a.AcknowledgedSince("s", 2); !ok || !got.Equal(since) {
		t.Fatalf("acknowledged since %s, %t", got, ok)
	}
	a.SetGates([]string{"a", "b", "c"})
	if _, ok := a.AcknowledgedSince("s", 2); ok {
		t.Fatal("one gate of three counts as a majority")
	}
}
