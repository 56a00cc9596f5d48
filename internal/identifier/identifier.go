// Package identifier finds the caller behind an API key and checks the tier that it asks for.
package identifier

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

const bearer = "Bearer "

// Identity is an authenticated caller.
type Identity struct {
	Workspace, Caller string
	// Tiers are the allowed tiers; the first is the default.
	Tiers []string
}

// KeyError reports a missing or unknown API key. It never contains the key.
type KeyError struct{ Reason string }

// Error implements error.
func (e *KeyError) Error() string { return e.Reason }

// TierError reports a tier that a caller may not use.
type TierError struct {
	Tier    string
	Allowed []string
}

// Error implements error.
func (e *TierError) Error() string {
	return fmt.Sprintf("tier %q is not allowed for this caller, which may use %s", e.Tier, strings.Join(e.Allowed, ", "))
}

type entry struct {
	digest   []byte
	identity *Identity
}

// Index finds callers of one configuration version.
type Index struct {
	// buckets are keyed by the first bytes of the key's digest. The comparison within a bucket takes constant time, and a
	// digest reveals nothing of the key.
	buckets map[string][]entry
}

const bucketBytes = 4

// New indexes the callers of a configuration.
func New(cfg *configurer.Config) *Index {
	x := &Index{buckets: make(map[string][]entry)}
	for _, w := range cfg.Workspaces {
		for _, c := range w.Callers {
			digest, err := hex.DecodeString(c.KeySHA256)
			if err != nil || len(digest) != sha256.Size {
				continue
			}
			b := string(digest[:bucketBytes])
			id := &Identity{Workspace: w.Name, Caller: c.Name, Tiers: c.Tiers}
			x.buckets[b] = append(x.buckets[b], entry{digest: digest, identity: id})
		}
	}
	return x
}

// Authenticate finds the caller of an Authorization header.
func (x *Index) Authenticate(authorization string) (*Identity, error) {
	key, ok := strings.CutPrefix(authorization, bearer)
	if !ok || key == "" {
		return nil, &KeyError{Reason: "an API key is required as a bearer token in the Authorization header"}
	}
	digest := sha256.Sum256([]byte(key))
	var found *Identity
	for _, e := range x.buckets[string(digest[:bucketBytes])] {
		if subtle.ConstantTimeCompare(e.digest, digest[:]) == 1 {
			found = e.identity
		}
	}
	if found == nil {
		return nil, &KeyError{Reason: "the API key is not known"}
	}
	return found, nil
}

// Tier returns the tier to use: the one asked for, or the caller's default.
func (id *Identity) Tier(asked string) (string, error) {
	if asked == "" && len(id.Tiers) > 0 {
		return id.Tiers[0], nil
	}
	if !slices.Contains(id.Tiers, asked) {
		return "", &TierError{Tier: asked, Allowed: id.Tiers}
	}
	return asked, nil
}
