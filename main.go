// Command savoryhoist schedules latency-critical and batch work on shared workers.
package main

import (
	"os"

	"savoryhoist.example/savoryhoist/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
