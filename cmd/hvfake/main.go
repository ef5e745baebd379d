// Command hvfake runs fakes of the platform services, and a load generator, for
// tests and the demo.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// version is set by the build.
var version = "dev"

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

func run() int {
	parser := flags.NewNamedParser("hvfake", flags.Default)
	for _, v := range commands {
		if _, err := parser.AddCommand(v.name, v.usage, v.usage, v.commander); err != nil {
			fmt.Fprintln(os.Stderr, "hvfake:", err)
			return exitFailure
		}
	}
	_, err := parser.Parse()
	switch {
	case err == nil:
		return exitOK
	case flags.WroteHelp(err):
		return exitOK
	}
	if _, ok := err.(*flags.Error); ok {
		return exitUsage
	}
	return exitFailure
}
