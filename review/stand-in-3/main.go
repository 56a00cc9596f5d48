package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// reviewCase is a case with its numbers of core and front machines. Play returns an exit code.
type reviewCase struct {
	cores, fronts int
	play          func(w *world, trouble bool) int
}

// cases are the cases by number, and by name those that were left out.
var cases = map[string]reviewCase{
	"11":         {6, 2, quietCore},
	"12":         {3, 3, lastKey},
	"13":         {3, 3, upload},
	"14":         {5, 4, takeUp},
	"15":         {3, 3, brokenHeads},
	"quota":      {3, 3, quota},
	"many-parts": {3, 4, manyParts},
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Println("usage: stand-in-3 CASE FOLDER")
		return exitNotRun
	}
	number, folder := os.Args[1], os.Args[2]
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	c := cases[number]
	w, err := newWorld(record, c.cores, c.fronts)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption %t", number, trouble)
	result := make(chan int, 1)
	go func() { result <- c.play(w, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	code := exitNotRun
	select {
	case code = <-result:
	case s := <-stop:
		w.note("stopped by signal %v", s)
	case <-time.After(maxTime):
		w.note("not ended within %v", maxTime)
	}
	if exits := w.ownExits(); len(exits) > 0 {
		w.note("processes that ended by themselves: %v", exits)
	}
	w.note("exit %d", code)
	w.close()
	return code
}
