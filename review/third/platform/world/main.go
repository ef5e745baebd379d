package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenarios are the cases by name. They return the rules that were broken.
var scenarios = map[string]func(trouble bool) ([]string, error){
	"late-submit":        lateSubmit,
	"suspected-job":      suspectedJob,
	"late-start":         lateStart,
	"unloaded-gate":      unloadedGate,
	"rolling-restart":    rollingRestart,
	"rolling-slow-store": rollingSlowStore,
}

func main() {
	if len(os.Args) < 2 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world SCENARIO")
		os.Exit(couldNot)
	}
	rules, err := scenarios[os.Args[1]](os.Getenv("TROUBLE") != "0")
	for _, r := range rules {
		fmt.Println("broken:", r)
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(couldNot)
	case len(rules) > 0:
		os.Exit(broken)
	}
	fmt.Println("held")
	os.Exit(held)
}

func recordPath() string {
	if p := os.Getenv("RECORD"); p != "" {
		return p
	}
	return "record.txt"
}

func seed() int64 {
	if n, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return time.Now().UnixNano()
}
