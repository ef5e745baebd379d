package main

import (
	"net/http/httptest"
	"os/exec"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hvctl": main})
}

type fakeGateKey struct{}

// TestScripts runs hvctl as a process against the HTTP handlers of a gate. The
// first comment of each script names the failures that it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: commands})
}

func setup(env *testscript.Env) error {
	s := newFakeGate()
	server := httptest.NewServer(s)
	env.Defer(server.Close)
	env.Values[fakeGateKey{}] = s
	env.Setenv("HV_GATE", server.Listener.Addr().String())
	env.Setenv("HV_TOKEN", testToken)
	env.Setenv("USER", "ana")
	// By default each process of a race build sleeps 1 s before it ends.
	env.Setenv("GORACE", "atexit_sleep_ms=10")
	return nil
}

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	// exits CODE ARGUMENTS runs hvctl and fails unless it ends with the exit code.
	"exits": func(ts *testscript.TestScript, _ bool, args []string) {
		err := ts.Exec("hvctl", args[1:]...)
		var exit *exec.ExitError
		code := 0
		if errors.As(err, &exit) {
			code, err = exit.ExitCode(), nil
		}
		ts.Check(err)
		if strconv.Itoa(code) != args[0] {
			ts.Fatalf("hvctl exited with code %d, want %s", code, args[0])
		}
	},
	// fault NAME [DIR] sets the fault of the next POST and the settings folder that
	// another operator publishes.
	"fault": func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(fakeGateKey{}).(*fakeGate)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fault = args[0]
		if len(args) > 1 {
			files, _, err := loadSettings(ts.MkAbs(args[1]))
			ts.Check(err)
			s.rivalFiles = files
		}
	},
	// posts N fails unless the gate has received N POSTs.
	"posts": func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(fakeGateKey{}).(*fakeGate)
		s.mu.Lock()
		defer s.mu.Unlock()
		if got := strconv.Itoa(s.posts); got != args[0] {
			ts.Fatalf("gate received %s POSTs, want %s", got, args[0])
		}
	},
}
