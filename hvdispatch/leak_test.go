package hvdispatch_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that continue after their context has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
