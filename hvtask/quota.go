package hvtask

import (
	"time"

	"github.com/cespare/xxhash/v2"

	hv "hibiscusvane.example/hibiscusvane"
)

// quota holds the totals that a shard has given to and taken from other shards
// of each team's quota. A shard can take only what another shard has given
// before in its own stream, so the shares of all shards never add up to more
// than the quota.
type quota struct {
	Given    map[string]map[int]hv.Resources `json:"given,omitempty"`
	Taken    map[string]map[int]hv.Resources `json:"taken,omitempty"`
	Requests map[string]QuotaRequest         `json:"asked,omitempty"`
}

// QuotaRequest is a shard's request for more of a team's quota.
type QuotaRequest struct {
	Amount hv.Resources `json:"amount"`
	// Time is the record time of the request; older requests come first.
	Time time.Time `json:"time,omitzero"`
}

func newQuota() quota {
	return quota{
		Given:    make(map[string]map[int]hv.Resources),
		Taken:    make(map[string]map[int]hv.Resources),
		Requests: make(map[string]QuotaRequest),
	}
}

func (q quota) apply(op Op, now time.Time) {
	if op.Amount == nil || op.Amount.Check() != nil || op.Shard < 0 || op.Shard >= Shards {
		return
	}
	switch op.Op {
	case OpGiveQuota:
		raiseTotal(q.Given, op)
	case OpTakeQuota:
		raiseTotal(q.Taken, op)
	case OpRequestQuota:
		if *op.Amount == (hv.Resources{}) {
			delete(q.Requests, op.Team)
			return
		}
		since := now
		if old, ok := q.Requests[op.Team]; ok {
			since = old.Time
		}
		q.Requests[op.Team] = QuotaRequest{Amount: *op.Amount, Time: since}
	}
}

// raiseTotal sets a total. Totals never decrease; a lower amount is ignored.
func raiseTotal(totals map[string]map[int]hv.Resources, op Op) {
	team := totals[op.Team]
	if !team[op.Shard].Fits(*op.Amount) {
		return
	}
	if team == nil {
		team = make(map[int]hv.Resources)
		totals[op.Team] = team
	}
	team[op.Shard] = *op.Amount
}

// QuotaShare returns the share of a team's quota that the shard with the given
// number may use.
func (s *Shard) QuotaShare(number int, team string, total hv.Resources) hv.Resources {
	s.mu.RLock()
	defer s.mu.RUnlock()
	share := baseShare(number, team, total)
	for _, amount := range s.quota.Taken[team] {
		share = share.Add(amount)
	}
	for _, amount := range s.quota.Given[team] {
		share = share.Sub(amount)
	}
	return share
}

// QuotaGiven returns the total of a team's quota given to another shard.
func (s *Shard) QuotaGiven(team string, to int) hv.Resources {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.quota.Given[team][to]
}

// QuotaTaken returns the total of a team's quota taken from another shard.
func (s *Shard) QuotaTaken(team string, from int) hv.Resources {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.quota.Taken[team][from]
}

// QuotaRequest returns the shard's open request for more of a team's quota, if
// any.
func (s *Shard) QuotaRequest(team string) (QuotaRequest, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a, ok := s.quota.Requests[team]
	return a, ok
}

// baseShare returns a shard's initial share of a quota, which is divided
// evenly. The shards that follow a hash of the team get one unit more until the
// remainder is used up, so that the remainders of different teams tend to go to
// different shards.
func baseShare(number int, team string, total hv.Resources) hv.Resources {
	first := int64(xxhash.Sum64String(team) % Shards)
	index := (int64(number) - first + Shards) % Shards
	return hv.Resources{
		Processors:   evenPart(total.Processors, index),
		Memory:       hv.Size(evenPart(int64(total.Memory), index)),
		Accelerators: evenPart(total.Accelerators, index),
	}
}

func evenPart(total, index int64) int64 {
	n := total / Shards
	if index < total%Shards {
		n++
	}
	return n
}
