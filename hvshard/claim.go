package hvshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusvane.example/hibiscusvane/hvquorum"
)

// shouldClaim reports whether this gate should claim the shard now, and the
// epoch to claim it with.
func (o *Owner) shouldClaim(now time.Time) (int64, bool) {
	current := o.state.Owner()
	if o.steppingDown || now.Sub(o.started) < missingTimeout {
		return 0, false
	}
	// A claim based on outdated knowledge of the stream would lose against an
	// epoch that this gate does not know.
	if _, ok := o.Quorum.StartUntil(o.stream, current.Epoch); !ok {
		return 0, false
	}
	live := o.Quorum.Live(missingTimeout)
	owned := current.Epoch > 0 && !current.Released && current.Incarnation != o.config.Incarnation &&
		slices.ContainsFunc(live, func(p hvquorum.Peer) bool { return p.Incarnation == current.Incarnation })
	if owned {
		o.missingSince, o.losses = time.Time{}, 0
		return 0, false
	}
	// A new epoch shows that its owner is alive, even if this gate receives no
	// heartbeats from it. The exponential wait keeps two gates that reach the
	// log and the hosts but not each other from taking the shard over in turns.
	if !current.Released && now.Sub(o.epochChanged) < missingTimeout<<o.losses {
		return 0, false
	}
	if o.missingSince.IsZero() {
		o.missingSince = now
	}
	live = o.ownerCandidates(live, now)
	if current.Released && now.Sub(o.missingSince) < 2*missingTimeout {
		// A gate releases a shard because it is stepping down or another gate
		// is preferred; its heartbeats may not show that yet.
		live = slices.DeleteFunc(live, func(p hvquorum.Peer) bool { return p.Incarnation == current.Incarnation })
	}
	// A gate that is not the desired owner claims the shard if the gates ranked
	// before it do not, for example because they cannot reach the log.
	rank := slices.Index(rendezvousOrder(o.stream, live), o.config.Gate)
	if rank < 0 || now.Sub(o.missingSince) < time.Duration(rank)*missingTimeout {
		return 0, false
	}
	return current.Epoch + 1, true
}

// ownerCandidates excludes gates that receive no heartbeats from any side while
// others do: such a gate could not renew leases.
func (o *Owner) ownerCandidates(live []hvquorum.Peer, now time.Time) []hvquorum.Peer {
	for i := range live {
		if live[i].Name == o.config.Gate {
			live[i].NoSides = o.noSides(now)
		}
	}
	noSides := func(p hvquorum.Peer) bool { return p.NoSides }
	if withSides := slices.DeleteFunc(slices.Clone(live), noSides); len(withSides) > 0 {
		return withSides
	}
	return live
}

func (o *Owner) noSides(now time.Time) bool {
	for name := range o.hosts {
		if !o.silent(name, now) {
			return false
		}
	}
	return true
}

// shouldYield reports whether another gate should own the shard: this one
// receives no heartbeats from any side, or another has been the desired owner
// for handBackDelay.
func (o *Owner) shouldYield(now time.Time) bool {
	order := rendezvousOrder(o.stream, o.ownerCandidates(o.Quorum.Live(missingTimeout), now))
	if len(order) == 0 || order[0] == o.config.Gate {
		o.outrankedSince = time.Time{}
		return false
	}
	if o.outrankedSince.IsZero() {
		o.outrankedSince = now
	}
	delay := noSidesTimeout
	if slices.Contains(order, o.config.Gate) {
		// Shards are handed back one after another, a second apart, not all at
		// once.
		delay = handBackDelay + time.Duration(o.config.Shard)*time.Second
	}
	return now.Sub(o.outrankedSince) >= delay
}

// rendezvousOrder orders the gates that can own a stream by preference, using
// rendezvous hashing. Every gate computes the same order, and the loss of a
// gate moves only its own shards.
func rendezvousOrder(stream string, live []hvquorum.Peer) []string {
	var names []string
	for _, p := range live {
		if !p.Leaving {
			names = append(names, p.Name)
		}
	}
	score := func(name string) uint64 { return xxhash.Sum64String(name + "/" + stream) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return names
}

// StepDown releases the shard if this gate owns it, and stops the gate from
// claiming it again.
func (o *Owner) StepDown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.steppingDown = true
}
