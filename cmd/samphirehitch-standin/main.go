// Command samphirehitch-standin serves stand-ins for the platform's store and database
// groups, to try the proxy on one machine.
package main

import (
	"context"
	"fmt"
	"os"

	"samphirehitch.example/samphirehitch/standin/program"
)

func main() {
	if err := program.Run(context.Background(), os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "samphirehitch-standin:", err)
		os.Exit(1)
	}
}
