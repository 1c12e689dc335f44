//go:build review3

// Command standin plays the platform, the runners and the callers of the scripts of the third review. The scripts start it
// beside the project's own programs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// commands holds the functions of the command line by name. Each returns the exit status.
var commands = map[string]func(ctx context.Context, args []string) int{
	"settings": writeSettings, "store": serveStore, "runner": runRunner, "bodies": playBodies, "cancel": playCancel,
	"crashes": playCrashes, "lasting": playLasting, "removed": playRemoved,
}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin settings|store|runner|bodies|cancel|crashes|lasting|removed ...")
		os.Exit(exitNotRun)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := commands[os.Args[1]](ctx, os.Args[2:])
	stop()
	os.Exit(status)
}

// The exit statuses of a script.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)
