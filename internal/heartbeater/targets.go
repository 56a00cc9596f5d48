package heartbeater

// SetControlHosts replaces the configured addresses of the control hosts.
func (a *Agent) SetControlHosts(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ControlHosts = addrs
}

func (a *Agent) clearLeader(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddr == addr {
		a.leaderAddr = ""
	}
}

// targets returns the addresses to send heartbeats to, the last known leader first. It may contain duplicates and empty
// strings.
func (a *Agent) targets() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []string{a.leaderAddr}
	out = append(out, a.ControlHosts...)
	for _, m := range a.members {
		if m.Control {
			out = append(out, m.Addr)
		}
	}
	return out
}
