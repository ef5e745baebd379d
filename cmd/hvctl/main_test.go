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

type standinKey struct{}

// TestScripts runs hvctl as a process against the HTTP handlers of a gate.
// Each script names the failures that it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: commands})
}

func setup(env *testscript.Env) error {
	s := newStandin()
	server := httptest.NewServer(s)
	env.Defer(server.Close)
	env.Values[standinKey{}] = s
	env.Setenv("HV_GATE", server.Listener.Addr().String())
	env.Setenv("HV_TOKEN", testToken)
	env.Setenv("USER", "ana")
	// By default each process of a race build sleeps 1 s before it ends.
	env.Setenv("GORACE", "atexit_sleep_ms=10")
	return nil
}

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	// exits CODE ARGUMENTS runs hvctl and wants an exit code.
	"exits": func(ts *testscript.TestScript, _ bool, args []string) {
		err := ts.Exec("hvctl", args[1:]...)
		var exit *exec.ExitError
		code := 0
		if errors.As(err, &exit) {
			code, err = exit.ExitCode(), nil
		}
		ts.Check(err)
		if strconv.Itoa(code) != args[0] {
			ts.Fatalf("hvctl ended with %d, want %s", code, args[0])
		}
	},
	// fault NAME [DIR] holds for the next POST.
	"fault": func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(standinKey{}).(*standin)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fault = args[0]
		if len(args) > 1 {
			files, _, err := load(ts.MkAbs(args[1]))
			ts.Check(err)
			s.rival = files
		}
	},
	// posts N fails unless the gate has got N POSTs.
	"posts": func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(standinKey{}).(*standin)
		s.mu.Lock()
		defer s.mu.Unlock()
		if got := strconv.Itoa(s.posts); got != args[0] {
			ts.Fatalf("the gate got %s POSTs, want %s", got, args[0])
		}
	},
}
