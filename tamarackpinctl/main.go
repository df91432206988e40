// Command tamarackpinctl is the operators' command for tamarackpin.
package main

import (
	"os"

	"tamarackpin.example/tamarackpinctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
