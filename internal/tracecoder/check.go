package tracecoder

import (
	"errors"
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
)

// checker validates the records of a trace against the names that its header defines.
type checker struct {
	tiers, callers, zones, hosts map[string]bool
	pools                        map[string]string // name -> kind
	endpoints                    map[string]bool
	ids                          map[string]bool
}

func newChecker(h *Header) (*checker, error) {
	if h.Version != Version {
		return nil, fmt.Errorf("version %d is not supported, want %d", h.Version, Version)
	}
	if h.Config == nil || len(h.Hosts) == 0 || len(h.Config.Tiers) == 0 {
		return nil, errors.New("the header needs hosts and a config with tiers")
	}
	if h.DurationUS <= 0 || h.DurationUS > maxTimeUS {
		return nil, fmt.Errorf("duration_us %d is out of range", h.DurationUS)
	}
	c := &checker{
		tiers: map[string]bool{}, callers: map[string]bool{}, zones: map[string]bool{}, hosts: map[string]bool{},
		pools: map[string]string{}, endpoints: map[string]bool{}, ids: map[string]bool{},
	}
	for _, t := range h.Config.Tiers {
		c.tiers[t.Name] = true
	}
	for _, w := range h.Config.Workspaces {
		for _, k := range w.Callers {
			c.callers[w.Name+"/"+k.Name] = true
		}
	}
	for _, p := range h.Config.Pools {
		c.pools[p.Name] = p.Kind
	}
	for _, host := range h.Hosts {
		c.zones[host.Zone], c.hosts[host.Name] = true, true
	}
	return c, errors.Join(c.conditions(h.Conditions), c.flood(h.Flood), c.addEndpoints(h))
}

func (c *checker) addEndpoints(h *Header) error {
	for _, e := range h.Config.Endpoints {
		kind, ok := c.pools[e.Pool]
		if !ok || c.endpoints[e.Name] {
			return fmt.Errorf("endpoint %q: duplicate name or unknown pool %q", e.Name, e.Pool)
		}
		if _, known := emulator.HardwareOptions(h.Engines[e.Name]); kind == configurer.KindModel && !known {
			return fmt.Errorf("endpoint %q: unknown hardware generation %q", e.Name, h.Engines[e.Name])
		}
		c.endpoints[e.Name], c.zones[e.Zone] = true, true
	}
	return nil
}

func (c *checker) conditions(k Conditions) error {
	for _, us := range []int64{k.ReportAgeUS, k.ListAgeUS, k.CacheDelayUS, k.RestartUS} {
		if us < 0 || us > maxTimeUS {
			return errors.New("conditions: a time is out of range")
		}
	}
	if !(k.CacheGapRate >= 0 && k.CacheGapRate <= 1) {
		return fmt.Errorf("cache_gap_rate %v: want 0 to 1", k.CacheGapRate)
	}
	return nil
}

func (c *checker) flood(f *Flood) error {
	if f != nil && (!c.tiers[f.Tier] || f.FromUS < 0 || f.ToUS <= f.FromUS || f.ToUS > maxTimeUS) {
		return errors.New("flood: unknown tier or empty window")
	}
	return nil
}

func (c *checker) request(r *Request) error {
	switch {
	case r.ID == "" || c.ids[r.ID]:
		return fmt.Errorf("request id %q is empty or a duplicate", r.ID)
	case !c.tiers[r.Tier]:
		return fmt.Errorf("unknown tier %q", r.Tier)
	case !c.callers[r.Workspace+"/"+r.Caller]:
		return fmt.Errorf("unknown caller %q of workspace %q", r.Caller, r.Workspace)
	case c.pools[r.Pool] == "":
		return fmt.Errorf("unknown pool %q", r.Pool)
	case r.DeadlineUS <= 0 || r.DeadlineUS > maxTimeUS:
		return fmt.Errorf("deadline_us %d is out of range", r.DeadlineUS)
	case r.TargetUS < 0 || r.TargetUS > maxTimeUS || r.PoisonUS < 0 || r.PoisonUS > maxTimeUS:
		return errors.New("target_us or poison_us is out of range")
	case r.Retries < 0 || r.Retries > 100:
		return fmt.Errorf("retries %d is out of range", r.Retries)
	case r.Once && r.Key == "":
		return errors.New("a request with once needs a key")
	}
	c.ids[r.ID] = true
	if c.pools[r.Pool] == configurer.KindModel {
		return c.modelRequest(r)
	}
	if r.ServiceUS <= 0 || r.ServiceUS > maxTimeUS {
		return fmt.Errorf("service_us %d is out of range", r.ServiceUS)
	}
	return nil
}

func (c *checker) modelRequest(r *Request) error {
	for _, n := range []int{r.PromptTokens, r.OutputTokens, r.MaxOutputTokens} {
		if n < 1 || n > maxTokens {
			return errors.New("prompt_tokens, output_tokens or max_output_tokens is out of range")
		}
	}
	for _, segment := range r.Prefix {
		if _, _, err := splitSegment(segment); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) change(k *Change) error {
	switch k.Change {
	case ChangeZoneDown:
		if !c.zones[k.Zone] {
			return fmt.Errorf("unknown zone %q", k.Zone)
		}
		return nil
	case ChangeHostDown, ChangeHostCut:
		if !c.hosts[k.Host] {
			return fmt.Errorf("unknown host %q", k.Host)
		}
		if k.ForUS < 0 || k.ForUS > maxTimeUS || (k.Change == ChangeHostCut) != (k.ForUS > 0) {
			return fmt.Errorf("for_us %d: want a positive time for host_cut and none for host_down", k.ForUS)
		}
		return nil
	case ChangeSpeed:
		if !(k.Factor > 0.001 && k.Factor < 1000) {
			return fmt.Errorf("factor %v is out of range", k.Factor)
		}
	case ChangeCrash, ChangeLeave, ChangeStop, ChangeStart:
	default:
		return fmt.Errorf("unknown change %q", k.Change)
	}
	if !c.endpoints[k.Endpoint] {
		return fmt.Errorf("unknown endpoint %q", k.Endpoint)
	}
	return nil
}
