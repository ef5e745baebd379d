package hventry

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvshed"
)

// steppedClock is a clock that a test sets.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

// Guards against requests that are refused as if the store were away, because this gate stood
// still and heard nothing meanwhile. A store that stays silent after it counts as away.
func TestStandstillOfGateIsNoOutage(t *testing.T) {
	clock := &steppedClock{now: time.Unix(1e9, 0)}
	a := newAdmission(clock, hvmetric.New(hvmetric.DefaultCallerLimit), log.NewNopLogger())
	a.dataArrived()
	clock.now = clock.now.Add(downProbeInterval)
	a.tick()
	clock.now = clock.now.Add(3 * time.Second)
	if s := a.state(hvshed.Load{}); s.Down || a.down() {
		t.Fatalf("state is %+v right after a standstill of this process, want the store not down", s)
	}
	for range 5 {
		clock.now = clock.now.Add(downProbeInterval)
		a.tick()
	}
	if !a.down() {
		t.Fatal("the store does not count as down after more than 1.2 s without a response")
	}
}
