package hvhttp

import "testing"

// Guards against one caller whose slow bodies block the others, and against memory
// that is never released.
func TestBodyMemoryIsShared(t *testing.T) {
	budget := newBodyBudget(400)
	if err := budget.reserve("busy", 100); err != nil {
		t.Fatal(err)
	}
	if budget.reserve("busy", 1) == nil {
		t.Error("one caller reserved more than its share")
	}
	for _, caller := range []string{"a", "b", "c"} {
		if err := budget.reserve(caller, 100); err != nil {
			t.Error(err)
		}
	}
	if budget.reserve("d", 1) == nil {
		t.Error("more than the total memory was reserved")
	}
	for _, caller := range []string{"busy", "a", "b", "c"} {
		budget.release(caller, 100)
	}
	if budget.used != 0 || len(budget.callers) != 0 {
		t.Errorf("%d bytes of %d callers are still reserved after all releases", budget.used, len(budget.callers))
	}
}
