// Command samphirehitch-load drives a deployment with open-loop load and
// failures, checks every answer and measures how callers fared.
package main

import (
	"context"
	"fmt"
	"os"

	"samphirehitch.example/samphirehitch/load/program"
)

func main() {
	if err := program.Run(context.Background(), os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "samphirehitch-load:", err)
		os.Exit(1)
	}
}
