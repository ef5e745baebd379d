// Command bed runs the programs of the project with stand-ins of the platform, on loopback
// addresses and the real clock, and shows one case of the second review.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns what broke the rule, or an empty string.
var cases = map[string]func(bin string, rec *recorder, trouble, keep bool) (broken string, err error){
	"cancel":  lostCancel,
	"late":    lateStart,
	"rolling": rollingCrash,
	"watcher": faultyWatcher,
}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "folder of hvgate and hvside")
	record := flag.String("record", "record.txt", "file to write the record to")
	keep := flag.Bool("keep", false, "keep the logs of the programs")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(exitNotRun)
	}
	f, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := newRecorder(f)
	broken, err := run(*bin, rec, os.Getenv("TROUBLE") != "0", *keep)
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	case broken != "":
		rec.log("broken: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	}
	rec.log("the rule held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
