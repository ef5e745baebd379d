package hvkey

import (
	"maps"
	"slices"
)

// Assign returns the smallest set of moves after which every slot has a live
// owner and the numbers of slots of any two live incarnations differ by one at
// most. A move between two live incarnations should follow a handover, because
// the new owner otherwise answers older keys as unknown. A released slot goes to
// its successor, even if that one is leaving: only the successor has the key
// records that the next owner needs.
func Assign(slots [SlotCount]SlotState, live, leaving []string) []Move {
	live = slices.Compact(slices.Sorted(slices.Values(live)))
	if len(live) == 0 {
		return nil
	}
	owned := make(map[string][]int, len(live))
	for _, name := range live {
		owned[name] = nil
	}
	var moves []Move
	var unowned []int
	for i, s := range slots {
		if _, ok := owned[s.Owner]; ok && s.Owner != "" {
			owned[s.Owner] = append(owned[s.Owner], i)
			continue
		}
		// Only the successor of a released slot has its key records.
		_, isLive := owned[s.Successor]
		if s.Owner == "" && s.Successor != "" && (isLive || slices.Contains(leaving, s.Successor)) {
			moves = append(moves, Move{Slot: i, To: s.Successor})
			if isLive {
				owned[s.Successor] = append(owned[s.Successor], i)
			}
			continue
		}
		unowned = append(unowned, i)
	}
	for _, i := range unowned {
		to := extremeOwner(owned, -1)
		owned[to] = append(owned[to], i)
		moves = append(moves, Move{Slot: i, From: slots[i].Owner, To: to})
	}
	return append(moves, balanceMoves(slots, owned)...)
}

// balanceMoves moves slots from the owner with the most to the owner with the
// fewest until the two differ by one at most. It stops at a slot that Assign has
// already moved, so that no slot moves twice.
func balanceMoves(slots [SlotCount]SlotState, owned map[string][]int) []Move {
	var moves []Move
	for {
		most, least := extremeOwner(owned, 1), extremeOwner(owned, -1)
		if len(owned[most])-len(owned[least]) <= 1 {
			return moves
		}
		last := len(owned[most]) - 1
		slot := owned[most][last]
		if slots[slot].Owner != most {
			return moves
		}
		owned[most] = owned[most][:last]
		owned[least] = append(owned[least], slot)
		moves = append(moves, Move{Slot: slot, From: most, To: least})
	}
}

// extremeOwner returns the owner with the most (sign 1) or fewest (sign -1)
// slots. Among equals it returns the first by name.
func extremeOwner(owned map[string][]int, sign int) string {
	var found string
	for _, name := range slices.Sorted(maps.Keys(owned)) {
		if found == "" || sign*len(owned[name]) > sign*len(owned[found]) {
			found = name
		}
	}
	return found
}
