// Command hvslopecmd prints how the costs of the control plane grow with the
// size of the fleet.
package main

import (
	"os"

	"hibiscusvane.example/hibiscusvane/hvslope"
)

func main() { hvslope.Print(os.Stdout) }
