package hvshard

import (
	"maps"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// teamQuota returns the quota of a team.
func (o *Owner) teamQuota(team string) (hv.Resources, bool) {
	if o.settings == nil {
		return hv.Resources{}, false
	}
	limit, ok := o.settings.Teams[team]
	return limit, ok
}

// requestQuota records that this shard needs more of a team's quota.
// balanceQuotas corrects the amount of an open request.
func (o *Owner) requestQuota(team string, amount hv.Resources) {
	if _, ok := o.state.QuotaRequest(team); !ok {
		o.enqueue(hvtask.Op{Op: hvtask.OpRequestQuota, Team: team, Amount: &amount})
	}
}

// balanceQuotas moves unused quota between shards. The shard with the oldest
// request gets the unused quota of all others; otherwise two shards that each
// hold a part of what a task needs would wait for each other.
func (o *Owner) balanceQuotas() {
	if o.settings == nil || o.uncertain || o.inFlight != nil {
		return
	}
	waiting, planned := o.waitingForQuota(), o.plannedUse()
	for _, team := range slices.Sorted(maps.Keys(o.settings.Teams)) {
		o.takeQuota(team)
		share := o.state.QuotaShare(o.config.Shard, team, o.settings.Teams[team])
		used := o.state.TeamUsage(team).Add(planned[team])
		reserved, unmet := o.reserveQuota(waiting[team], share, used)
		if a, ok := o.state.QuotaRequest(team); ok && a.Amount != unmet {
			o.enqueue(hvtask.Op{Op: hvtask.OpRequestQuota, Team: team, Amount: &unmet})
		}
		if to := o.oldestRequest(team); to >= 0 && to != o.config.Shard {
			o.giveQuota(team, to, shortage(share, used.Add(reserved)))
		}
	}
}

// maxQuotaTasks limits the tasks of a team that balanceQuotas considers.
const maxQuotaTasks = 16

// waitingForQuota returns the first queued tasks of each team that wait for
// quota.
func (o *Owner) waitingForQuota() map[string][]hv.Task {
	waiting := make(map[string][]hv.Task)
	o.state.EachQueued(func(e *hvtask.Entry) bool {
		team := e.Task.Team
		if w := o.waits[e.Task.ID]; w != nil && w.forQuota && len(waiting[team]) < maxQuotaTasks {
			waiting[team] = append(waiting[team], e.Task)
		}
		return true
	})
	return waiting
}

// reserveQuota returns the need of the first task that fits in the share now,
// and the shortage of the first one that does not. The former is retried at
// once and its quota stays reserved until then; otherwise two shards could pass
// the same quota back and forth forever. If that task then waits for something
// else, it loses the reservation.
func (o *Owner) reserveQuota(tasks []hv.Task, share, used hv.Resources) (reserved, unmet hv.Resources) {
	found := false
	for _, t := range tasks {
		lacking := shortage(used.Add(t.Need), share)
		switch {
		case lacking == (hv.Resources{}) && !found:
			found, reserved = true, t.Need
			o.waits[t.ID].next = time.Time{}
		case lacking != (hv.Resources{}) && unmet == (hv.Resources{}):
			unmet = lacking
		}
	}
	return reserved, unmet
}

// takeQuota records the quota that other shards have given to this one.
func (o *Owner) takeQuota(team string) {
	for from, other := range o.States {
		given := other.QuotaGiven(team, o.config.Shard)
		if from != o.config.Shard && given != o.state.QuotaTaken(team, from) {
			o.enqueue(hvtask.Op{Op: hvtask.OpTakeQuota, Team: team, Shard: from, Amount: &given})
		}
	}
}

// oldestRequest returns the shard with the oldest request, or -1.
func (o *Owner) oldestRequest(team string) int {
	first, oldest := -1, hvtask.QuotaRequest{}
	for shard, other := range o.States {
		if a, ok := other.QuotaRequest(team); ok && (first < 0 || a.Time.Before(oldest.Time)) {
			first, oldest = shard, a
		}
	}
	return first
}

// giveQuota gives unused quota to another shard, unless that shard has not yet
// taken what it was given before.
func (o *Owner) giveQuota(team string, to int, unused hv.Resources) {
	given := o.state.QuotaGiven(team, to)
	a, ok := o.States[to].QuotaRequest(team)
	if !ok || o.States[to].QuotaTaken(team, o.config.Shard) != given {
		return
	}
	if amount := minResources(unused, a.Amount); amount != (hv.Resources{}) {
		total := given.Add(amount)
		o.enqueue(hvtask.Op{Op: hvtask.OpGiveQuota, Team: team, Shard: to, Amount: &total})
	}
}

// shortage returns by how much want exceeds have in each dimension.
func shortage(want, have hv.Resources) hv.Resources {
	d := want.Sub(have)
	return hv.Resources{Processors: max(d.Processors, 0), Memory: max(d.Memory, 0), Accelerators: max(d.Accelerators, 0)}
}

func minResources(a, b hv.Resources) hv.Resources {
	return hv.Resources{
		Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
