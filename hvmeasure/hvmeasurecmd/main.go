// Command hvmeasurecmd compares the policies with their baselines and prints
// the results as a table.
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
	only := flag.String("case", "", "run only the cases whose name contains this text")
	flag.Parse()
	missed := hvmeasure.Print(os.Stdout, func(name string) bool { return strings.Contains(name, *only) }, *seeds)
	fmt.Printf("\n%d targets missed\n", missed)
}
