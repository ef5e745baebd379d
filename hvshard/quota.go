package hvshard

import (
	"maps"
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// quota returns the quota of a team.
func (o *Owner) quota(team string) (hv.Resources, bool) {
	if o.settings == nil {
		return hv.Resources{}, false
	}
	limit, ok := o.settings.Teams[team]
	return limit, ok
}

// ask records that this shard needs more of a team's quota.
func (o *Owner) ask(team string, amount hv.Resources) {
	if a, ok := o.state.Asked(team); !ok || !amount.Fits(a.Amount) {
		o.emit(hvtask.Op{Op: hvtask.OpAsk, Team: team, Amount: &amount})
	}
}

// balance moves unused quota between shards. The shard with the oldest request
// gets what all others do not use, so that two shards that each hold a part of
// what one task needs do not wait for each other.
func (o *Owner) balance() {
	if o.settings == nil || o.doubt || o.flight != nil {
		return
	}
	for _, team := range slices.Sorted(maps.Keys(o.settings.Teams)) {
		o.takeQuota(team)
		if to := o.firstAsking(team); to == o.config.Shard {
			o.withdrawAsk(team)
		} else if to >= 0 {
			o.giveQuota(team, to)
		}
	}
}

// takeQuota records what other shards have given to this one.
func (o *Owner) takeQuota(team string) {
	for from, other := range o.States {
		given := other.Given(team, o.config.Shard)
		if from != o.config.Shard && given != o.state.Taken(team, from) {
			o.emit(hvtask.Op{Op: hvtask.OpTake, Team: team, Shard: from, Amount: &given})
		}
	}
}

// firstAsking returns the shard with the oldest request, or -1.
func (o *Owner) firstAsking(team string) int {
	first, oldest := -1, hvtask.Ask{}
	for shard, other := range o.States {
		if a, ok := other.Asked(team); ok && (first < 0 || a.Time.Before(oldest.Time)) {
			first, oldest = shard, a
		}
	}
	return first
}

// giveQuota gives unused quota to another shard, unless that has not yet taken
// what it was given before.
func (o *Owner) giveQuota(team string, to int) {
	given := o.state.Given(team, to)
	a, ok := o.States[to].Asked(team)
	if !ok || o.States[to].Taken(team, o.config.Shard) != given {
		return
	}
	used := o.state.Used(team).Add(o.planned()[team])
	idle := missing(o.state.Share(o.config.Shard, team, o.settings.Teams[team]), used)
	if amount := least(idle, a.Amount); amount != (hv.Resources{}) {
		total := given.Add(amount)
		o.emit(hvtask.Op{Op: hvtask.OpGive, Team: team, Shard: to, Amount: &total})
	}
}

// withdrawAsk ends this shard's request when no queued task needs it.
func (o *Owner) withdrawAsk(team string) {
	needed := false
	share, used := o.state.Share(o.config.Shard, team, o.settings.Teams[team]), o.state.Used(team)
	o.state.Queued(func(e *hvtask.Entry) bool {
		needed = e.Task.Team == team && !used.Add(e.Task.Need).Fits(share)
		return !needed
	})
	if !needed {
		o.emit(hvtask.Op{Op: hvtask.OpAsk, Team: team, Amount: &hv.Resources{}})
	}
}

// missing returns by how much want exceeds have in each dimension.
func missing(want, have hv.Resources) hv.Resources {
	d := want.Sub(have)
	return hv.Resources{Processors: max(d.Processors, 0), Memory: max(d.Memory, 0), Accelerators: max(d.Accelerators, 0)}
}

func least(a, b hv.Resources) hv.Resources {
	return hv.Resources{
		Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
