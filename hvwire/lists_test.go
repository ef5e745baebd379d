package hvwire_test

import (
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// The seed and the number of checks are fixed, so that all runs are the same.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Guards against a gate that restores a wrong list of attempts from a checksum: it
// would renew, stop or lose the wrong attempts. Also guards against a side that
// restores other key slots than the gate granted.
func TestRestoredListsMatchSender(t *testing.T) {
	t.Log("seed 1")
	rapid.Check(t, func(t *rapid.T) {
		var lists hvwire.ListCache
		var held []hvwire.AttemptState
		for range rapid.IntRange(2, 30).Draw(t, "beats") {
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				held = nil // the gate was restarted, and the side has not noticed
			case 1:
				lists = hvwire.ListCache{} // the connection was reopened
			case 2:
				held = drawAttempts(t) // another list came over another connection
			}
			full := hvwire.Heartbeat{Attempts: drawAttempts(t)}
			sent := lists.OmitAttempts(full)
			got, ok := sent.RestoreAttempts(held)
			ack := hvwire.HeartbeatAck{}
			grant := hvwire.KeyGrant{Slots: drawSlots(t), Offset: 7}
			if ok {
				if !slices.Equal(got.Attempts, full.Attempts) {
					t.Fatalf("the gate restores %v, the side has %v", got.Attempts, full.Attempts)
				}
				held = got.Attempts
				sentGrant := grant
				sentGrant.OmitSlots(got)
				ack = hvwire.HeartbeatAck{AttemptsStored: true, Grant: &sentGrant}
			}
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				continue
			}
			done := lists.RestoreSlots(sent, ack)
			if ok && (done.Grant == nil || !slices.Equal(done.Grant.Slots, grant.Slots) || done.Grant.Offset != grant.Offset) {
				t.Fatalf("the side restores %+v, the gate granted %+v", done.Grant, grant)
			}
			if !ok && lists.OmitAttempts(full).AttemptsChecksum != 0 {
				t.Fatal("the heartbeat after an ignored one has a checksum, want the full list")
			}
		}
	})
}

// drawAttempts draws one of few lists, so that consecutive lists are often equal.
func drawAttempts(t *rapid.T) []hvwire.AttemptState {
	var list []hvwire.AttemptState
	for i := range rapid.IntRange(0, 2).Draw(t, "attempts") {
		list = append(list, hvwire.AttemptState{
			Attempt: hv.Attempt{Task: "task", Number: i + 1}, Epoch: rapid.Int64Range(1, 2).Draw(t, "epoch"), State: hv.StateRunning,
		})
	}
	return list
}

func drawSlots(t *rapid.T) []hvwire.SlotGrant {
	var list []hvwire.SlotGrant
	for i := range rapid.IntRange(0, 2).Draw(t, "slots") {
		list = append(list, hvwire.SlotGrant{Slot: i, Since: 1, Wait: rapid.Bool().Draw(t, "wait")})
	}
	return list
}

// Guards against equal checksums of lists that differ in one field.
func TestChecksumsDistinguishLists(t *testing.T) {
	base := hvwire.AttemptState{Attempt: hv.Attempt{Task: "a", Number: 1}, Shard: 2, Epoch: 3, State: hv.StateRunning, Share: 4}
	seen := map[uint64]int{hvwire.ChecksumAttempts([]hvwire.AttemptState{base}): -1}
	for i, change := range []func(*hvwire.AttemptState){
		func(a *hvwire.AttemptState) { a.Attempt.Task = "b" },
		func(a *hvwire.AttemptState) { a.Attempt.Number++ },
		func(a *hvwire.AttemptState) { a.Shard++ },
		func(a *hvwire.AttemptState) { a.Epoch++ },
		func(a *hvwire.AttemptState) { a.State = hv.StateDone },
		func(a *hvwire.AttemptState) { a.Share++ },
	} {
		a := base
		change(&a)
		s := hvwire.ChecksumAttempts([]hvwire.AttemptState{a})
		if other, ok := seen[s]; ok {
			t.Fatalf("change %d has the checksum of change %d", i, other)
		}
		seen[s] = i
	}
}
