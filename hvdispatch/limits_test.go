package hvdispatch

import (
	"fmt"
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// fixedFleet has 11 upstreams with 8 slots each; reported is the number of
// requests that each of them reported with its last heartbeat.
type fixedFleet struct{ reported int }

const fleetSlots = 11 * 8

func (f fixedFleet) Usable(string) []*hvmember.Side {
	var list []*hvmember.Side
	for i := range 11 {
		list = append(list, &hvmember.Side{
			Announce:  hvwire.Announce{Host: hv.Host{Name: fmt.Sprint("h", i)}, Service: "labels", Slots: 8},
			Heartbeat: hvwire.Heartbeat{Running: f.reported},
		})
	}
	return list
}

func (f fixedFleet) Alive() []hvmember.Side {
	var list []hvmember.Side
	for _, s := range f.Usable("") {
		list = append(list, *s)
	}
	return list
}

type recordedLimits map[string]int

func (l recordedLimits) SetLimit(service string, slots int) { l[service] = slots }

// Guards against a gate that can't use slots which the other gates leave idle,
// and against a limit below the gate's equal part while other gates are busy.
func TestLimitWithSeveralGates(t *testing.T) {
	for _, test := range []struct {
		name                         string
		gates, reported, outstanding int // reported and outstanding are requests per upstream
		want                         int
	}{
		{"alone", 1, 8, 0, fleetSlots},
		{"alone and gate count zero", 0, 0, 0, fleetSlots},
		{"a third of the traffic, the others have little", 8, 3, 2, fleetSlots - 11},
		{"a third of the traffic, the others have none", 3, 3, 3, fleetSlots},
		{"all slots used by this gate", 3, 8, 8, fleetSlots},
		{"the others use nearly all slots", 3, 8, 1, (fleetSlots + 2) / 3},
		{"the others queue at the upstreams", 3, 20, 0, (fleetSlots + 2) / 3},
		{"heartbeats older than the requests of this gate", 3, 0, 8, fleetSlots},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, got := New(Deps{}), recordedLimits{}
			l := d.NewLimitUpdater(fixedFleet{test.reported}, func() int { return test.gates }, got)
			for i := range 11 {
				d.outstanding.add(fmt.Sprint("h", i), test.outstanding)
			}
			if l.Refresh(); got["labels"] != test.want {
				t.Errorf("limit is %d of %d slots, want %d", got["labels"], fleetSlots, test.want)
			}
			l.fleet = noFleet{}
			if l.Refresh(); got["labels"] != 0 {
				t.Errorf("limit is %d without upstreams, want 0", got["labels"])
			}
		})
	}
}

type noFleet struct{}

func (noFleet) Usable(string) []*hvmember.Side { return nil }
func (noFleet) Alive() []hvmember.Side         { return nil }
