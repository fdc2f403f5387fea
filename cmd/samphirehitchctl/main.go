// Command samphirehitchctl changes and inspects the configuration of a samphirehitch
// fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"samphirehitch.example/samphirehitch/operator/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, command.System(), os.Args[1:])
	stop()
	os.Exit(code)
}
