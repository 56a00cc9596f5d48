package cataloguer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer/cataloguerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// MethodList is the method that returns the endpoint list of a host.
const MethodList = "catalog.list"

const (
	// relayTimeout bounds the call to a reader. It leaves time to read from the platform if the reader does not respond.
	relayTimeout = 150 * time.Millisecond
	// maxRelayedAge bounds the age of a relayed list. Together with the time until the next read it is below the 3 seconds in
	// which a leaving endpoint must receive its last request.
	maxRelayedAge = 1500 * time.Millisecond
)

// NoListError reports that no list has been relayed yet and that it is too early to read from the platform.
type NoListError struct{ Waited time.Duration }

// Error implements error.
func (e *NoListError) Error() string {
	return fmt.Sprintf("no list was relayed within %v", e.Waited)
}

// Network calls and registers methods; *transporter.Transport implements it.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
	Handle(method string, h transporter.Handler)
}

// Relay is a Source that reads the platform's list on a few hosts only, because the platform limits the total rate of calls. The
// other hosts fetch the list from one of these hosts, and fall back to the platform if that host has no recent list. Set the
// exported fields before use.
type Relay struct {
	Platform Source
	Network  Network
	// ReaderAddr returns the address of the host that reads the list for this one. It is empty if this host reads itself or no
	// such host is known.
	ReaderAddr func() string
	// FallbackDelay is how long this host waits for a relayed list before it reads from the platform.
	FallbackDelay time.Duration
	// MinInterval is the minimum time between two reads of the platform's list.
	MinInterval time.Duration

	mu           sync.Mutex
	waitingSince time.Time // time of the first Read
	list         []Entry
	digest       uint64
	readAt       time.Time // start of the platform read that returned the list
}

// Register adds MethodList to the network. Call it before the network runs.
func (r *Relay) Register() { r.Network.Handle(MethodList, r.handleList) }

// ListedAt returns the time, on the clock of package clocker, at which the platform was asked for the list in use. It is zero without a
// list.
func (r *Relay) ListedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt
}

// Read implements Source.
func (r *Relay) Read(ctx context.Context) ([]Entry, error) {
	if addr := r.ReaderAddr(); addr != "" {
		list, err := r.fetch(ctx, addr)
		if err == nil {
			countReadings.Add("relayed", 1)
			return list, nil
		}
		countReadings.Add("not_relayed", 1)
		klog.V(1).Infof("cataloguer: list not relayed reader=%s reason=%q", addr, err)
	}
	if list, useCached, err := r.cached(); useCached {
		return list, err
	}
	requestedAt := clocker.Now()
	list, err := r.Platform.Read(ctx)
	if err != nil {
		return nil, err
	}
	r.store(list, requestedAt)
	return list, nil
}

// cached returns the last list, or a *NoListError without one. It sets useCached while it is too early to read from the platform.
func (r *Relay) cached() (list []Entry, useCached bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waitingSince.IsZero() {
		r.waitingSince = clocker.Now()
	}
	if r.digest == 0 {
		waited := clocker.Since(r.waitingSince)
		return nil, waited < r.FallbackDelay, &NoListError{Waited: waited}
	}
	return r.list, clocker.Since(r.readAt) < max(r.FallbackDelay, r.MinInterval), nil
}

// fetch returns the list of the reader at addr. The reader omits the endpoints if the digest of this host's list matches.
func (r *Relay) fetch(ctx context.Context, addr string) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	r.mu.Lock()
	req := &cataloguerpb.ListRequest{Digest: r.digest}
	r.mu.Unlock()
	requestedAt, reply := clocker.Now(), &cataloguerpb.ListReply{}
	if err := r.Network.Call(ctx, addr, MethodList, req, reply); err != nil {
		return nil, err
	}
	age := time.Duration(reply.GetAgeMs()) * time.Millisecond
	if reply.GetDigest() == 0 || age > maxRelayedAge {
		return nil, eris.Errorf("the reader has no recent list, age %v", age)
	}
	if reply.GetDigest() == req.GetDigest() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readAt = requestedAt.Add(-age)
		return r.list, nil
	}
	list := make([]Entry, 0, len(reply.GetEndpoints()))
	for _, e := range reply.GetEndpoints() {
		entry := Entry{
			ID: e.GetId(), Pool: e.GetPool(), Addr: e.GetAddr(), Zone: e.GetZone(), Slots: int(e.GetSlots()), Leaving: e.GetLeaving(),
			Version: e.GetVersion(),
		}
		if err := entry.Validate(); err != nil {
			// A reader of an earlier version relays such entries.
			klog.V(1).InfoS("cataloguer: relayed entry skipped", "endpoint", entry.ID, "reason", err)
			continue
		}
		list = append(list, entry)
	}
	r.store(list, requestedAt.Add(-age))
	return list, nil
}

func (r *Relay) store(list []Entry, readAt time.Time) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(x, y Entry) int { return cmp.Compare(x.ID, y.ID) })
	hash := xxhash.New()
	for _, e := range list {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeEntry(e))
		if err != nil {
			klog.Errorf("cataloguer: endpoint not encoded endpoint=%s reason=%q", e.ID, err)
		}
		_, _ = hash.Write(append(raw, 0)) // never fails
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list, r.digest, r.readAt = list, max(hash.Sum64(), 1), readAt
}

func encodeEntry(e Entry) *cataloguerpb.Endpoint {
	return &cataloguerpb.Endpoint{
		Id: e.ID, Pool: e.Pool, Addr: e.Addr, Zone: e.Zone, Slots: int32(e.Slots), Leaving: e.Leaving, Version: e.Version,
	}
}

// handleList answers with this host's list and its age, without the endpoints if the request has the same digest.
func (r *Relay) handleList(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	req := &cataloguerpb.ListRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &cataloguerpb.ListReply{Digest: r.digest}
	if r.digest != 0 {
		reply.AgeMs = uint64(clocker.Since(r.readAt).Milliseconds())
	}
	if r.digest != req.GetDigest() {
		for _, e := range r.list {
			reply.Endpoints = append(reply.Endpoints, encodeEntry(e))
		}
	}
	return proto.Marshal(reply)
}
