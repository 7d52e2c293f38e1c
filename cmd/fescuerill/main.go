// Command fescuerill is an open-source query tier over many shards.
package main

import (
	"os"

	"fescuerill/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
