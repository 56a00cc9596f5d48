package heartbeater

// SetControllers replaces the addresses of the control hosts from the settings.
func (a *Agent) SetControllers(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Controllers = addrs
}

func (a *Agent) forgetLeader(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddr == addr {
		a.leaderAddr = ""
	}
}

// targets returns the control hosts' addresses, the last known leader first.
func (a *Agent) targets() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []string{a.leaderAddr}
	out = append(out, a.Controllers...)
	for _, m := range a.members {
		if m.Control {
			out = append(out, m.Addr)
		}
	}
	return out
}
