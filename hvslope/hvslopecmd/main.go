// Command hvslopecmd prints the costs of the control plane by the size of the
// fleet.
package main

import (
	"os"

	"hibiscusvane.example/hibiscusvane/hvslope"
)

func main() { hvslope.Print(os.Stdout) }
