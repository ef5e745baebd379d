package hvshard

import (
	"maps"
	"slices"
	"time"

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

// ask records that this shard needs more of a team's quota. Balance corrects
// the amount of an open request.
func (o *Owner) ask(team string, amount hv.Resources) {
	if _, ok := o.state.QuotaRequest(team); !ok {
		o.emit(hvtask.Op{Op: hvtask.OpRequestQuota, Team: team, Amount: &amount})
	}
}

// balance moves unused quota between shards. The shard with the oldest request
// gets what all others do not use, so that two shards that each hold a part of
// what one task needs do not wait for each other.
func (o *Owner) balance() {
	if o.settings == nil || o.doubt || o.flight != nil {
		return
	}
	waiting, planned := o.waitingForQuota(), o.planned()
	for _, team := range slices.Sorted(maps.Keys(o.settings.Teams)) {
		o.takeQuota(team)
		share := o.state.QuotaShare(o.config.Shard, team, o.settings.Teams[team])
		used := o.state.TeamUsage(team).Add(planned[team])
		reserved, short := o.reserve(waiting[team], share, used)
		if a, ok := o.state.QuotaRequest(team); ok && a.Amount != short {
			o.emit(hvtask.Op{Op: hvtask.OpRequestQuota, Team: team, Amount: &short})
		}
		if to := o.firstAsking(team); to >= 0 && to != o.config.Shard {
			o.giveQuota(team, to, missing(share, used.Add(reserved)))
		}
	}
}

// maxQuotaTasks bounds the tasks of a team that balance looks at.
const maxQuotaTasks = 16

// waitingForQuota returns the first tasks of each team that wait for quota.
func (o *Owner) waitingForQuota() map[string][]hv.Task {
	waiting := make(map[string][]hv.Task)
	o.state.EachQueued(func(e *hvtask.Entry) bool {
		team := e.Task.Team
		if w := o.waits[e.Task.ID]; w != nil && w.quota && len(waiting[team]) < maxQuotaTasks {
			waiting[team] = append(waiting[team], e.Task)
		}
		return true
	})
	return waiting
}

// reserve returns the need of the first task for which the share suffices now,
// and what the first other one lacks. The former is tried at once, and its
// quota is kept until then; otherwise two shards could pass the same quota to
// each other for ever. A task that then waits for something else loses it.
func (o *Owner) reserve(tasks []hv.Task, share, used hv.Resources) (reserved, short hv.Resources) {
	found := false
	for _, t := range tasks {
		lacks := missing(used.Add(t.Need), share)
		switch {
		case lacks == (hv.Resources{}) && !found:
			found, reserved = true, t.Need
			o.waits[t.ID].next = time.Time{}
		case lacks != (hv.Resources{}) && short == (hv.Resources{}):
			short = lacks
		}
	}
	return reserved, short
}

// takeQuota records what other shards have given to this one.
func (o *Owner) takeQuota(team string) {
	for from, other := range o.States {
		given := other.QuotaGiven(team, o.config.Shard)
		if from != o.config.Shard && given != o.state.QuotaTaken(team, from) {
			o.emit(hvtask.Op{Op: hvtask.OpTakeQuota, Team: team, Shard: from, Amount: &given})
		}
	}
}

// firstAsking returns the shard with the oldest request, or -1.
func (o *Owner) firstAsking(team string) int {
	first, oldest := -1, hvtask.QuotaRequest{}
	for shard, other := range o.States {
		if a, ok := other.QuotaRequest(team); ok && (first < 0 || a.Time.Before(oldest.Time)) {
			first, oldest = shard, a
		}
	}
	return first
}

// giveQuota gives idle quota to another shard, unless that has not yet taken
// what it was given before.
func (o *Owner) giveQuota(team string, to int, idle hv.Resources) {
	given := o.state.QuotaGiven(team, to)
	a, ok := o.States[to].QuotaRequest(team)
	if !ok || o.States[to].QuotaTaken(team, o.config.Shard) != given {
		return
	}
	if amount := least(idle, a.Amount); amount != (hv.Resources{}) {
		total := given.Add(amount)
		o.emit(hvtask.Op{Op: hvtask.OpGiveQuota, Team: team, Shard: to, Amount: &total})
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
