// Command scenes plays one case of the review with real daemons on loopback. It starts the project's daemon as the
// deploy file does, and stand-ins of the platform's store, of replicas and of clients.
//
//	scenes CASE DAEMON RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scene plays a case. It returns how often the rule was broken, and what was seen in one line.
type scene func(t *trial, program string, trouble bool) (broken int, seen string, err error)

var scenes = map[string]scene{
	"comment": comment,
	"encoded": encoded,
	"moved":   moved,
	"reborn":  reborn,
}

func main() { os.Exit(play()) }

func play() int {
	const arguments = 4
	if len(os.Args) > arguments && os.Args[1] == "replica" {
		share, err := strconv.ParseFloat(os.Args[arguments], 64)
		if err == nil {
			err = serveReplica(os.Args[2], os.Args[3], share)
		}
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if len(os.Args) != arguments || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenes CASE DAEMON RECORD")
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "scene")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	t, err := newTrial(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer t.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		t.stop()
		os.Exit(exitFailed)
	}()
	broken, seen, err := scenes[os.Args[1]](t, os.Args[2], os.Getenv("TROUBLE") != "0")
	verdict, code := "held: "+seen, exitHeld
	switch {
	case err != nil:
		verdict, code = "could not run: "+err.Error(), exitFailed
	case broken > 0:
		verdict, code = "BROKEN: "+seen, exitBroken
	}
	fmt.Println(verdict)
	if err := t.write(os.Args[3], verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
