package configurer

import (
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
)

// namePattern allows only names that are safe in paths, role names and log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}$`)

// methods are the HTTP methods that a route may have.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// validator collects the problems of one document.
type validator struct {
	problems  []Problem
	tiers     map[string]bool
	pools     map[string]*Pool
	keyOwners map[string]string
}

// Validate returns every problem of a decoded document.
func Validate(cfg *Config) []Problem {
	v := &validator{tiers: map[string]bool{}, pools: map[string]*Pool{}, keyOwners: map[string]string{}}
	v.checkTiers(cfg.Tiers)
	v.checkPools(cfg.Pools)
	v.checkWorkspaces(cfg.Workspaces)
	v.checkEndpoints(cfg.Endpoints)
	v.checkServices(cfg.Services)
	v.checkLimits(cfg.Limits)
	return v.problems
}

func (v *validator) addProblem(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.addProblem(path, "is required")
	case !namePattern.MatchString(name):
		v.addProblem(path, "%q is not a valid name", name)
	case seen[name]:
		v.addProblem(path, "%q is used twice", name)
	}
	seen[name] = true
}

func (v *validator) checkNotNegative(path string, n float64) {
	if n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
		v.addProblem(path, "must not be negative")
	}
}

func (v *validator) checkTiers(tiers []Tier) {
	if len(tiers) == 0 {
		v.addProblem("tiers", "at least one tier is required")
	}
	orders := make([]int, 0, len(tiers))
	for i, t := range tiers {
		path := fmt.Sprintf("tiers[%d]", i)
		v.checkName(path+".name", t.Name, v.tiers)
		if slices.Contains(orders, t.Order) {
			v.addProblem(path+".order", "%d is used twice", t.Order)
		}
		if t.Order < 0 || t.Order >= len(tiers) {
			v.addProblem(path+".order", "must be from 0 to %d, without gaps", len(tiers)-1)
		}
		orders = append(orders, t.Order)
		v.checkNotNegative(path+".first_token_target_ms", float64(t.FirstTokenTargetMS))
		v.checkNotNegative(path+".token_gap_target_ms", float64(t.TokenGapTargetMS))
		v.checkNotNegative(path+".patience_ms", float64(t.PatienceMS))
		if t.Share <= 0 || t.Share > 1e6 {
			v.addProblem(path+".share", "must be above 0 and at most 1e6")
		}
	}
}

func (v *validator) checkPools(pools []Pool) {
	if len(pools) == 0 {
		v.addProblem("pools", "at least one pool is required")
	}
	seen, served := map[string]bool{}, map[string]string{}
	for i := range pools {
		p, path := &pools[i], fmt.Sprintf("pools[%d]", i)
		v.checkName(path+".name", p.Name, seen)
		v.pools[p.Name] = p
		switch p.Kind {
		case KindModel:
			if len(p.Models) == 0 {
				v.addProblem(path+".models", "a pool of kind %q needs at least one model", KindModel)
			}
		case KindService:
			if len(p.Models) > 0 {
				v.addProblem(path+".models", "a pool of kind %q has no models", KindService)
			}
		default:
			v.addProblem(path+".kind", "%q is neither %q nor %q", p.Kind, KindModel, KindService)
		}
		for j, m := range p.Models {
			at := fmt.Sprintf("%s.models[%d]", path, j)
			if other, taken := served[m]; taken {
				v.addProblem(at, "%q is already served by pool %q", m, other)
			}
			if m == "" {
				v.addProblem(at, "is required")
			}
			served[m] = p.Name
		}
	}
}

func (v *validator) checkWorkspaces(workspaces []Workspace) {
	seen := map[string]bool{}
	for i, w := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		v.checkName(path+".name", w.Name, seen)
		v.checkNotNegative(path+".weight", w.Weight)
		v.checkNotNegative(path+".limits.requests_per_second", w.Limits.RequestsPerSecond)
		v.checkNotNegative(path+".limits.burst", float64(w.Limits.Burst))
		v.checkNotNegative(path+".limits.max_waiting", float64(w.Limits.MaxWaiting))
		v.checkNotNegative(path+".limits.max_running", float64(w.Limits.MaxRunning))
		callers := map[string]bool{}
		for j, c := range w.Callers {
			v.checkCaller(fmt.Sprintf("%s.callers[%d]", path, j), w.Name, c, callers)
		}
	}
}

func (v *validator) checkCaller(path, workspace string, c Caller, seen map[string]bool) {
	v.checkName(path+".name", c.Name, seen)
	digest, err := hex.DecodeString(c.KeySHA256)
	switch owner, taken := v.keyOwners[string(digest)]; {
	case err != nil || len(digest) != 32:
		v.addProblem(path+".key_sha256", "must be 64 hexadecimal digits")
	case taken:
		v.addProblem(path+".key_sha256", "is already the key of %s", owner)
	default:
		v.keyOwners[string(digest)] = workspace + "/" + c.Name
	}
	if len(c.Tiers) == 0 {
		v.addProblem(path+".tiers", "at least one tier is required")
	}
	for k, t := range c.Tiers {
		at := fmt.Sprintf("%s.tiers[%d]", path, k)
		if !v.tiers[t] {
			v.addProblem(at, "tier %q does not exist", t)
		}
		if slices.Contains(c.Tiers[:k], t) {
			v.addProblem(at, "%q is used twice", t)
		}
	}
}

func (v *validator) checkEndpoints(endpoints []Endpoint) {
	seen := map[string]bool{}
	for i, e := range endpoints {
		path := fmt.Sprintf("endpoints[%d]", i)
		v.checkName(path+".name", e.Name, seen)
		if !validAddress(e.Address) {
			v.addProblem(path+".address", "%q is not IP:PORT", e.Address)
		}
		if e.Zone == "" {
			v.addProblem(path+".zone", "is required")
		}
		v.checkNotNegative(path+".max_concurrent", float64(e.MaxConcurrent))
		pool, ok := v.pools[e.Pool]
		if !ok {
			v.addProblem(path+".pool", "pool %q does not exist", e.Pool)
			continue
		}
		for j, m := range e.Models {
			if !slices.Contains(pool.Models, m) {
				v.addProblem(fmt.Sprintf("%s.models[%d]", path, j), "pool %q does not serve model %q", e.Pool, m)
			}
		}
	}
}

// validAddress reports whether address is an IP address with a port. Host names are not valid, since they are not resolved.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func (v *validator) checkServices(services []Service) {
	seen := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path+".name", s.Name, seen)
		switch pool, ok := v.pools[s.Pool]; {
		case !ok:
			v.addProblem(path+".pool", "pool %q does not exist", s.Pool)
		case pool.Kind != KindService:
			v.addProblem(path+".pool", "pool %q is not of kind %q", s.Pool, KindService)
		}
		if len(s.Routes) == 0 {
			v.addProblem(path+".routes", "at least one route is required")
		}
		routes := map[string]bool{}
		for j, r := range s.Routes {
			v.checkRoute(fmt.Sprintf("%s.routes[%d]", path, j), r, routes)
		}
	}
}

func (v *validator) checkRoute(path string, r Route, seen map[string]bool) {
	if !slices.Contains(methods, r.Method) {
		v.addProblem(path+".method", "%q is not an HTTP method", r.Method)
	}
	if r.Path == "" || r.Path[0] != '/' {
		v.addProblem(path+".path", "must start with /")
	}
	if at := slices.Index([]byte(r.Path), '*'); at >= 0 && at != len(r.Path)-1 {
		v.addProblem(path+".path", "* is allowed only at the end")
	}
	if seen[r.Method+" "+r.Path] {
		v.addProblem(path, "route %s %s is used twice", r.Method, r.Path)
	}
	seen[r.Method+" "+r.Path] = true
	if r.Idempotent && r.RequireKey {
		v.addProblem(path+".require_key", "is for routes that are not idempotent")
	}
}

func (v *validator) checkLimits(l Limits) {
	v.checkNotNegative("limits.max_waiting", float64(l.MaxWaiting))
	v.checkNotNegative("limits.quarantine_ms", float64(l.QuarantineMS))
	v.checkNotNegative("limits.order_retention_ms", float64(l.OrderRetentionMS))
	v.checkNotNegative("limits.max_orders", float64(l.MaxOrders))
	if l.MaxEjectedShare < 0 || l.MaxEjectedShare > 1 {
		v.addProblem("limits.max_ejected_share", "must be from 0 to 1")
	}
}
