// Command tamarackpin is the dispatcher that runs on every entry VM.
package main

import (
	"os"

	"tamarackpin.example/tamarackpin/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
