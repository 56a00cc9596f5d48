package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Times of the case, from the start of the new machine.
const (
	freezeAt, freezeTime = time.Second, 7 * time.Second
	leaveAt, quietUntil  = 4 * time.Second, 22 * time.Second
	// powerOffTime is the time for which all control hosts are down, and recoveryTime three times the bound on it.
	powerOffTime, recoveryTime = 700 * time.Millisecond, 36 * time.Second
)

// quietCore is case 11 with real processes: a control host stands still while another one is replaced. After a quiet time a configuration is
// acknowledged; then two disks are lost while all control hosts lose power.
func quietCore(w *world, trouble bool) int {
	spare := w.cores[5]
	w.cores = w.cores[:5]
	r := &runner{service: "desk", slots: 6, work: 30 * time.Millisecond}
	list, err := w.startRunners([]*runner{r})
	if err != nil || !w.setUp(list, keyDocument(5, nil)) {
		return exitNotRun
	}
	leaving, frozen := w.cores[0], w.cores[1]
	w.note("%s joins as the successor of %s", spare.name, leaving.name)
	began := time.Now()
	if w.writeSettings(spare, 0, true, false) != nil || w.start(spare) != nil {
		return exitNotRun
	}
	w.cores = append(w.cores, spare)
	time.Sleep(time.Until(began.Add(freezeAt)))
	if trouble {
		w.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(time.Until(began.Add(leaveAt)))
	w.signal(leaving, syscall.SIGTERM)
	time.Sleep(time.Until(began.Add(freezeAt + freezeTime)))
	if trouble {
		w.signal(frozen, syscall.SIGCONT)
	}
	<-leaving.ended
	w.note("%s has ended", leaving.name)
	w.cores = w.cores[1:]
	time.Sleep(time.Until(began.Add(quietUntil)))
	sent := time.Now()
	status, answer := w.sendConfig(keyDocument(9, nil), 10*time.Second)
	w.note("version 9: %d %s after %.3f s", status, answer, time.Since(sent).Seconds())
	if status != http.StatusOK {
		return exitNotRun
	}
	if !w.losePower(spare, w.cores[1]) {
		return exitNotRun
	}
	document := w.readConfig(recoveryTime)
	w.note("read back: %d bytes", len(document))
	if bytes.Contains(document, []byte(`"version":9`)) {
		return exitHeld
	}
	return exitBroken
}

// losePower kills all control hosts at once and starts them again. Those that are named have lost their disks.
func (w *world) losePower(lost ...*process) bool {
	for _, p := range w.cores {
		w.signal(p, syscall.SIGKILL)
	}
	for _, p := range w.cores {
		<-p.ended
	}
	for _, p := range lost {
		w.note("%s has lost its disk", p.name)
		if os.RemoveAll(filepath.Join(w.dir, p.name+"-data")) != nil {
			return false
		}
	}
	time.Sleep(powerOffTime)
	for i, p := range w.cores {
		if w.writeSettings(p, i+1, true, false) != nil || w.start(p) != nil {
			return false
		}
	}
	return true
}

// readConfig reads the configuration from the control hosts in turn until one answers with 200.
func (w *world) readConfig(limit time.Duration) []byte {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	statuses := map[int]int{}
	defer func() { w.note("reads of the configuration by status: %v", statuses) }()
	for began, i := time.Now(), 0; time.Since(began) < limit; i++ {
		resp, err := client.Get("http://" + w.controlAddr(w.cores[i%len(w.cores)]) + "/v1/config/read")
		if err != nil {
			statuses[0]++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		statuses[resp.StatusCode]++
		if err == nil && resp.StatusCode == http.StatusOK {
			return text
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
