// Command hvmeasurecmd prints the comparison of the policies with their
// baselines.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"hibiscusvane.example/hibiscusvane/hvmeasure"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of runs of each case")
	only := flag.String("case", "", "part of the name of the cases to run")
	flag.Parse()
	missed := hvmeasure.Print(os.Stdout, func(name string) bool { return strings.Contains(name, *only) }, *seeds)
	fmt.Printf("\n%d targets missed\n", missed)
}
