package hvcontrol

import (
	"context"
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// silentOwners returns the owners of slots that are not among the sides that this
// gate hears.
func silentOwners(slots [hvkey.SlotCount]hvkey.SlotState, heard serviceSides) []string {
	var silent []string
	for _, s := range slots {
		if s.Owner != "" && !slices.Contains(heard.active, s.Owner) && !slices.Contains(heard.leaving, s.Owner) {
			silent = append(silent, s.Owner)
		}
	}
	slices.Sort(silent)
	return slices.Compact(silent)
}

// unconfirmedLosses returns those of the silent sides that are not known to be lost.
// A side is lost if a majority of the gates, this one included, does not hear it and
// no gate that responds does: a gate alone cannot tell a lost side from a lost path
// to it. A new owner cannot serve before a majority has acknowledged the move, so
// waiting for one delays nothing.
func (c *Control) unconfirmedLosses(ctx context.Context, silent []string) []string {
	if len(silent) == 0 {
		return nil
	}
	responding := []string{c.conf.Name}
	heard := map[string]bool{}
	for name, ack := range callAllPeers[hvwire.HeardAck](ctx, c, hvwire.MethodHeard, hvwire.Heard{Incarnations: silent}) {
		responding = append(responding, name)
		for _, incarnation := range ack.Heard {
			heard[incarnation] = true
		}
	}
	if !c.quorum.IsMajority(responding) {
		return silent
	}
	return slices.DeleteFunc(slices.Clone(silent), func(incarnation string) bool { return !heard[incarnation] })
}

// serveHeard returns which sides this gate hears. A gate that has not run for the
// heartbeat timeout may not have heard any side yet, so it refuses.
func (c *Control) serveHeard(_ context.Context, _ *hvwire.Conn, q hvwire.Heard) (hvwire.HeardAck, error) {
	if c.Clock.Now().Sub(c.startedAt) < hvmember.HeartbeatTimeout {
		return hvwire.HeardAck{}, errorf("heard", hv.Unavailable, "the gate started less than %v ago", hvmember.HeartbeatTimeout)
	}
	var ack hvwire.HeardAck
	for _, incarnation := range q.Incarnations {
		if _, alive := c.Members.FindIncarnation(incarnation); alive {
			ack.Heard = append(ack.Heard, incarnation)
		}
	}
	return ack, nil
}
