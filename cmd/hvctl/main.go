// Command hvctl is described in README.md beside this file.
package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// version is set by the build.
var version = "dev"

func main() {
	var opts struct{}
	if _, err := flags.Parse(&opts); err != nil {
		fmt.Println(err)
	}
	fmt.Println(version)
}
