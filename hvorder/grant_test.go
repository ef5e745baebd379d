package hvorder

import (
	"encoding/json"
	"testing"
)

// Guards against a host whose best-effort work is known not to interfere, and whose node
// throttles all of it because the grant looks like one of an owner that knows nothing.
func TestGrantWithoutInterferingImagesIsKept(t *testing.T) {
	for _, effects := range []map[string]int64{nil, {}, {"image": 3}} {
		b, err := json.Marshal(Grant{Effects: effects})
		if err != nil {
			t.Fatal(err)
		}
		var g Grant
		if err := json.Unmarshal(b, &g); err != nil {
			t.Fatal(err)
		}
		if (g.Effects == nil) != (effects == nil) || len(g.Effects) != len(effects) {
			t.Errorf("effects %#v arrive as %#v in %s", effects, g.Effects, b)
		}
	}
}
