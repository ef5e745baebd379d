// Command standin runs the cases of the review: it starts the programs of the project as
// separate processes, with stand-ins of the platform's store, the minions and the clients,
// and checks what these see against the rules.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	programs := flag.String("programs", "target", "folder of the project's programs")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	name := flag.String("case", "soak", "case to run")
	seed := flag.Uint64("seed", 1, "seed of the random load and faults")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "whether the disruption happens")
	length := flag.Duration("length", 50*time.Second, "length of the load")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fail("case %q does not exist", *name)
	}
	time.AfterFunc(maxTime, func() { fail("the case took longer than %v", maxTime) })
	breaks := run(options{*programs, *record, *seed, *trouble, *length})
	for _, b := range breaks {
		fmt.Println(b)
	}
	if len(breaks) > 0 {
		os.Exit(1)
	}
	fmt.Println("no rule was broken")
}

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

type options struct {
	programs, record string
	seed             uint64
	trouble          bool
	length           time.Duration
}

// cases holds the cases by name.
var cases = map[string]func(options) []string{"soak": soak, "flaps": flaps, "leave": leave, "foreign": foreign, "gang": gang, "overdue": overdue, "reboot": reboot, "hints": hints, "drop": drop, "moved": moved, "stops": stops, "evacuation": evacuation}
