// Command samphirehitch-load runs open-loop load with fault injection against a
// deployment, checks the responses for consistency violations and reports latencies and
// error rates.
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
