// The rig runs one case of the review: it starts the programs of the deploy file as separate processes on loopback addresses, brings
// about the disruption of the case, and checks what callers and operators see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name. trouble is the value of TROUBLE; 0 means without the disruption.
var cases = map[string]func(c *cluster, trouble string) int{
	"replaced-core": replacedCore,
	"first-start":   firstStart,
	"first-ack":     firstAck,
	"crashing":      crashing,
}

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("out", ".", "folder of record.txt")
	name := flag.String("case", "", "name of the case")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "rig: no case %q\n", *name)
		return notRun
	}
	rec, err := newRecorder(filepath.Join(*out, "record.txt"))
	if err != nil {
		fmt.Fprintf(os.Stderr, "rig: %v\n", err)
		return notRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.fail("temporary folder: %v", err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	abs, err := filepath.Abs(*root)
	if err != nil {
		rec.fail("root: %v", err)
		return notRun
	}
	trouble, set := os.LookupEnv("TROUBLE")
	if !set {
		trouble = "1"
	}
	c := newCluster(abs, dir, rec)
	rec.event("case %s, TROUBLE=%s", *name, trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		c.stopAll()
		os.Exit(notRun)
	}()
	result := play(c, trouble)
	c.stopAll()
	if rec.couldNotRun() {
		result = notRun
	}
	rec.event("result %d", result)
	return result
}
