package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	hv "hibiscusvane.example/hibiscusvane"
)

// action is a parsed command line.
type action interface {
	// do writes its result to out. A returned error sets the exit code.
	do(ctx context.Context, out io.Writer) error
}

// verb is one command of hvctl. Its name has one or two words.
type verb struct {
	name  string
	args  string
	usage string
	parse func(c *command) (action, error)
}

// verbs lists all verbs in the order of the usage text.
var verbs = []verb{
	checkVerb, diffVerb, publishVerb, showVerb,
	statusVerb, explainVerb, drainVerb,
	submitVerb,
	listVerb("jobs", hv.Job), getVerb("jobs", hv.Job), waitVerb,
	listVerb("watchers", hv.Watcher), getVerb("watchers", hv.Watcher),
	cancelVerb,
}

// findVerb returns the verb that args begin with and the arguments after it.
func findVerb(args []string) (verb, []string, bool) {
	for words := min(2, len(args)); words > 0; words-- {
		name := strings.Join(args[:words], " ")
		for _, v := range verbs {
			if v.name == name {
				return v, args[words:], true
			}
		}
	}
	return verb{}, nil, false
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	v, rest, ok := findVerb(args)
	if !ok {
		return runWithoutVerb(args, out, errOut)
	}
	a, err := v.parse(&command{verb: v, args: rest})
	if err == nil {
		err = a.do(ctx, out)
	}
	if text, ok := helpText(err); ok {
		fmt.Fprintln(out, strings.TrimRight(text, "\n"))
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "hvctl %s: %v\n", v.name, err)
	}
	return exitCode(err)
}

// runWithoutVerb handles a command line without a known verb.
func runWithoutVerb(args []string, out, errs io.Writer) int {
	last := ""
	if len(args) > 0 {
		last = args[len(args)-1]
	}
	switch last {
	case "--version":
		fmt.Fprintln(out, version)
		return exitOK
	case "--help", "-h":
		printUsage(out, args[0])
		return exitOK
	case "":
		fmt.Fprintln(errs, "hvctl: want a verb")
	default:
		fmt.Fprintf(errs, "hvctl: unknown verb %q\n", strings.Join(args[:min(2, len(args))], " "))
	}
	printUsage(errs, "")
	return exitUsage
}

// printUsage lists the two-word verbs that begin with a word, or all verbs if
// none does.
func printUsage(out io.Writer, word string) {
	fmt.Fprint(out, "Usage: hvctl VERB [OPTIONS] [ARGUMENTS]\n\nVerbs:\n")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, v := range matchingVerbs(word) {
		fmt.Fprintf(t, "  %s %s\t%s\n", v.name, v.args, v.usage)
	}
	_ = t.Flush()
	fmt.Fprint(out, "\nhvctl VERB --help lists the options of a verb.\n"+
		"Exit codes: 0 success, 1 failure, 2 usage or invalid settings,\n"+
		"3 refused (stale base, conflict), 4 unreachable, nothing was changed.\n")
}

func matchingVerbs(word string) []verb {
	var group []verb
	for _, v := range verbs {
		if first, _, hasTwoWords := strings.Cut(v.name, " "); hasTwoWords && first == word {
			group = append(group, v)
		}
	}
	if group == nil {
		return verbs
	}
	return group
}
