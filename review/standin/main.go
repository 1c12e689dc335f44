//go:build review

// Command standin plays everything around the programs in the cases of the review: the store,
// the operator and the clients ("stage"), and one runner ("runner").
package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// portFront to portMetrics are the ports of each process; processes differ by their loopback addresses.
const (
	portFront, portReady, portControl, portApp, portPeers, portMetrics = 21481, 21482, 21483, 21484, 21485, 21486
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		if err := runRunner(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "runner:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) == 5 && os.Args[1] == "stage" {
		os.Exit(runStage(os.Args[2], os.Args[3], os.Args[4]))
	}
	fmt.Fprintln(os.Stderr, "usage: standin runner SETTINGS | standin stage CASE DIR RECORD")
	os.Exit(exitNotRun)
}

// writeJSONFile writes a value as JSON to a file.
func writeJSONFile(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
