// The rig-2 command plays the scripted cases of the second review: it starts the system's own processes on loopback addresses, with
// stand-ins for requesters, runners and the platform's list.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case. Trouble is false where the disruption is left out. It returns what broke the rule, or an empty string.
type scenario func(binary string, r *record, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{}

// longest is the longest time of a case.
const longest = 115 * time.Second

// running is the fleet whose processes must be ended if the case is stopped.
var running struct {
	sync.Mutex
	fleet *fleet
}

// stopLate ends the processes of the case and exits when the case takes too long or is stopped by a signal.
func stopLate() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	running.Lock()
	if running.fleet != nil {
		running.fleet.close()
	}
	fmt.Println("not run: stopped")
	os.Exit(exitNotRun)
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/dragonflycroft", "program of the system")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	go stopLate()
	os.Exit(play(*name, *binary, *path))
}

func play(name, binary, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	broken, err := "", errors.New("no such case: "+name)
	if run := scenarios[name]; run != nil {
		broken, err = run(binary, r, os.Getenv("TROUBLE") != "0")
	}
	code, verdict := exitHeld, "held"
	switch {
	case err != nil:
		code, verdict = exitNotRun, "not run: "+err.Error()
	case broken != "":
		code, verdict = exitBroken, "broken: "+broken
	}
	r.note("%s", verdict)
	fmt.Println(verdict)
	if err := r.close(); err != nil {
		fmt.Println("record:", err)
	}
	return code
}
