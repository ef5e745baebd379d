package hvshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusvane.example/hibiscusvane/hvquorum"
)

// claims reports whether this gate should claim the shard now, and with which
// epoch.
func (o *Owner) claims(now time.Time) (int64, bool) {
	current := o.state.Owner()
	if o.leaving || now.Sub(o.started) < missingAfter {
		return 0, false
	}
	// A claim from an old view would lose against the epoch that it does not know.
	if _, ok := o.View.StartUntil(o.stream, current.Epoch); !ok {
		return 0, false
	}
	live := o.View.Live(missingAfter)
	owned := current.Epoch > 0 && !current.Released && current.Incarnation != o.config.Incarnation &&
		slices.ContainsFunc(live, func(p hvquorum.Peer) bool { return p.Incarnation == current.Incarnation })
	if owned {
		o.missing, o.losses = time.Time{}, 0
		return 0, false
	}
	// A new epoch shows that its owner lives, even if this gate does not hear
	// it. The growing wait keeps two gates that reach the log and the hosts but
	// not each other from taking the shard in turns.
	if !current.Released && now.Sub(o.changed) < missingAfter<<o.losses {
		return 0, false
	}
	if o.missing.IsZero() {
		o.missing = now
	}
	live = o.candidates(live, now)
	if current.Released && now.Sub(o.missing) < 2*missingAfter {
		// A gate releases because it leaves or another is preferred, which the
		// heartbeats may not say yet.
		live = slices.DeleteFunc(live, func(p hvquorum.Peer) bool { return p.Incarnation == current.Incarnation })
	}
	// A gate that is not the desired owner steps in when those before it do
	// not claim, for example because they cannot reach the log.
	rank := slices.Index(rendezvous(o.stream, live), o.config.Gate)
	if rank < 0 || now.Sub(o.missing) < time.Duration(rank)*missingAfter {
		return 0, false
	}
	return current.Epoch + 1, true
}

// candidates leaves out gates that hear no side while others do. Such a gate
// could renew no lease.
func (o *Owner) candidates(live []hvquorum.Peer, now time.Time) []hvquorum.Peer {
	for i := range live {
		if live[i].Name == o.config.Gate {
			live[i].NoSides = o.blind(now)
		}
	}
	blind := func(p hvquorum.Peer) bool { return p.NoSides }
	if sighted := slices.DeleteFunc(slices.Clone(live), blind); len(sighted) > 0 {
		return sighted
	}
	return live
}

func (o *Owner) blind(now time.Time) bool {
	for name := range o.hosts {
		if !o.silent(name, now) {
			return false
		}
	}
	return true
}

// yields reports whether another gate should own the shard: this one hears no
// side, or another has been the desired owner for long.
func (o *Owner) yields(now time.Time) bool {
	order := rendezvous(o.stream, o.candidates(o.View.Live(missingAfter), now))
	if len(order) == 0 || order[0] == o.config.Gate {
		o.outranked = time.Time{}
		return false
	}
	if o.outranked.IsZero() {
		o.outranked = now
	}
	patience := blindFor
	if slices.Contains(order, o.config.Gate) {
		// Shards go back one after another, not all at once.
		patience = handBackAfter + time.Duration(o.config.Shard)*time.Second
	}
	return now.Sub(o.outranked) >= patience
}

// rendezvous orders the gates that can own a stream by preference. Every gate
// computes the same order, and the loss of a gate moves only its own shards.
func rendezvous(stream string, live []hvquorum.Peer) []string {
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

// Leave releases the shard if this gate owns it, and claims none any more.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}
