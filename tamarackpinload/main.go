// Command tamarackpinload runs stand-in targets and callers against a
// deployment of tamarackpin, and measures it.
package main

import (
	"os"

	"tamarackpin.example/tamarackpinload/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
