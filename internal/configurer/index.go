package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// Identity is the caller that a key belongs to.
type Identity struct {
	Workspace *Workspace
	Caller    *Caller
}

// Index provides look-ups in one configuration. It is immutable and safe for concurrent use.
type Index struct {
	config    *Config
	keys      map[[8]byte][]keyEntry
	tiers     map[string]*Tier
	pools     map[string]*Pool
	models    map[string]*Pool
	endpoints map[string]*Endpoint
	services  map[string]*Service
}

type keyEntry struct {
	digest   [sha256.Size]byte
	identity Identity
}

// NewIndex builds the index of a valid configuration, which must not change afterwards.
func NewIndex(cfg *Config) *Index {
	x := &Index{
		config: cfg, keys: map[[8]byte][]keyEntry{}, tiers: map[string]*Tier{}, pools: map[string]*Pool{},
		models: map[string]*Pool{}, endpoints: map[string]*Endpoint{}, services: map[string]*Service{},
	}
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		for j := range w.Callers {
			x.addKey(w, &w.Callers[j])
		}
	}
	for i := range cfg.Tiers {
		x.tiers[cfg.Tiers[i].Name] = &cfg.Tiers[i]
	}
	for i := range cfg.Pools {
		p := &cfg.Pools[i]
		x.pools[p.Name] = p
		for _, m := range p.Models {
			x.models[m] = p
		}
	}
	for i := range cfg.Endpoints {
		x.endpoints[cfg.Endpoints[i].Name] = &cfg.Endpoints[i]
	}
	for i := range cfg.Services {
		x.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	return x
}

func (x *Index) addKey(w *Workspace, c *Caller) {
	entry := keyEntry{identity: Identity{Workspace: w, Caller: c}}
	digest, err := hex.DecodeString(c.KeySHA256)
	if err != nil || len(digest) != sha256.Size {
		return
	}
	copy(entry.digest[:], digest)
	bucket := [8]byte(digest[:8])
	x.keys[bucket] = append(x.keys[bucket], entry)
}

// CallerByKey returns the caller with an API key. Against timing attacks, the bucket is selected by the digest of the presented
// key, whose bits reveal nothing about a stored key, and the digests are compared in constant time.
func (x *Index) CallerByKey(key string) (Identity, bool) {
	digest := sha256.Sum256([]byte(key))
	var found Identity
	ok := false
	for _, e := range x.keys[[8]byte(digest[:8])] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			found, ok = e.identity, true
		}
	}
	return found, ok && key != ""
}

// Config returns the configuration that the index was built from.
func (x *Index) Config() *Config { return x.config }

// Tier returns the tier with a name, or nil.
func (x *Index) Tier(name string) *Tier { return x.tiers[name] }

// Pool returns the pool with a name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// PoolOfModel returns the pool that serves a model, or nil.
func (x *Index) PoolOfModel(model string) *Pool { return x.models[model] }

// Endpoint returns the endpoint with a name, or nil.
func (x *Index) Endpoint(name string) *Endpoint { return x.endpoints[name] }

// Service returns the service with a name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Route returns the route of a call, or nil. An exact path takes precedence over prefixes, and a longer prefix over shorter ones.
func (s *Service) Route(method, path string) *Route {
	var best *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		prefix, wild := strings.CutSuffix(r.Path, "*")
		switch {
		case r.Method != method:
		case !wild && r.Path == path:
			return r
		case wild && strings.HasPrefix(path, prefix) && (best == nil || len(r.Path) > len(best.Path)):
			best = r
		}
	}
	return best
}
