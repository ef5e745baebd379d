package hvkey

import (
	"maps"
	"slices"
)

// Assign proposes the moves that give every slot a live owner and each live
// incarnation the same number of slots, within one. It moves no slot more than
// that needs. Moves between two live incarnations should follow a handover,
// because the new owner otherwise answers older keys as unknown. A released
// slot goes to its heir, also if that one is among the leaving: it alone has the
// memory that the next owner needs.
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
		// The heir of a released slot has its memory.
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

// balanceMoves moves slots from the largest to the smallest owner until they differ
// by one at most. Slots without an owner in the log are not moved twice.
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

// extremeOwner returns the owner with the most (sign 1) or fewest (sign -1) slots,
// the first by name among equals.
func extremeOwner(owned map[string][]int, sign int) string {
	var found string
	for _, name := range slices.Sorted(maps.Keys(owned)) {
		if found == "" || sign*len(owned[name]) > sign*len(owned[found]) {
			found = name
		}
	}
	return found
}
