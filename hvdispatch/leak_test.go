package hvdispatch_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their context.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
