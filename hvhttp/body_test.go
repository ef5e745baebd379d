package hvhttp

import "testing"

// Guards against one caller whose slow bodies shut out the others, and against
// memory that is never given back.
func TestBodyMemoryIsShared(t *testing.T) {
	b := newBodies(400)
	if err := b.take("flood", 100); err != nil {
		t.Fatal(err)
	}
	if b.take("flood", 1) == nil {
		t.Error("one caller takes more than its part")
	}
	for _, caller := range []string{"a", "b", "c"} {
		if err := b.take(caller, 100); err != nil {
			t.Error(err)
		}
	}
	if b.take("d", 1) == nil {
		t.Error("the total is exceeded")
	}
	for _, caller := range []string{"flood", "a", "b", "c"} {
		b.give(caller, 100)
	}
	if b.used != 0 || len(b.callers) != 0 {
		t.Errorf("%d bytes and %d callers remain", b.used, len(b.callers))
	}
}
