// Package duplicator keeps a copy of what a host knows about its streams at another host, so that their callers can go on with them
// after the loss of the host and of all coordinators. See docs/design/second-holder-of-streams.md.
package duplicator

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/duplicator/duplicatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// Method is the RPC method with which a host sends origins to the one that keeps them.
	Method = "duplicator.keep"
	// batchDelay is the time in which origins are collected before they are sent.
	batchDelay = 20 * time.Millisecond
	// refreshInterval is the interval at which a restart of the holder is detected.
	refreshInterval = time.Second
	callTimeout     = 300 * time.Millisecond
	// retryDelay is the time for which a host that has not answered is passed over, and unsupportedDelay that for a host of an earlier build.
	retryDelay       = 2 * time.Second
	unsupportedDelay = 30 * time.Second
	// maxPerRequest is the largest number of origins in one request.
	maxPerRequest = 4096
)

// Peer is another entry host.
type Peer struct{ ID, Zone, Addr string }

// Network sends requests to other hosts.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// Origins are the origins of streams that a host knows.
type Origins interface {
	// OwnOrigins returns the origins to copy among the next limit ones after a sequence number, and the number to go on with, which
	// stays the same if there are no further ones. It starts with the oldest one for 0.
	OwnOrigins(seq uint64, limit int) (records []registrar.Record, last uint64)
	// OriginsEpoch returns a number that grows when OwnOrigins has to be read from the start again.
	OriginsEpoch() uint64
	// KeepOrigins records origins for another host.
	KeepOrigins(records []registrar.Record)
}

// Duplicator sends the origins of its host to another one, and keeps those of others. Set the exported fields, and call Init before Run.
type Duplicator struct {
	HostID  string
	Zone    string
	Network Network
	// Peers returns the other entry hosts.
	Peers   func() []Peer
	Origins Origins

	process uint64
	wake    chan struct{}
	// holder is the host that keeps the copy, holderProcess its process, and seq the sequence number of the last origin that it has.
	holder        string
	holderProcess uint64
	seq           uint64
	epoch         uint64
	// sentAt is the time at which origins were last sent.
	sentAt time.Time
	// passedOverUntil are the times until which hosts are not asked.
	passedOverUntil map[string]time.Time
}

// Init initializes the state.
func (d *Duplicator) Init() {
	d.process = rand.Uint64()
	d.wake = make(chan struct{}, 1)
	d.passedOverUntil = map[string]time.Time{}
}

// Notify makes Run send new origins soon. It does not block.
func (d *Duplicator) Notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run sends origins until ctx ends.
func (d *Duplicator) Run(ctx context.Context) error {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		refresh := false
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			refresh = true
		case <-d.wake:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(batchDelay):
			}
		}
		for d.send(ctx, refresh) {
			refresh = false
		}
	}
}

// send sends one request and reports whether there may be more to send. Refresh sends one also without new origins, while the holder may still
// have some.
func (d *Duplicator) send(ctx context.Context, refresh bool) (more bool) {
	now := time.Now()
	peer, found := d.choose(now)
	if !found {
		return false
	}
	if peer.ID != d.holder {
		d.holder, d.holderProcess, d.seq = peer.ID, 0, 0
	}
	if epoch := d.Origins.OriginsEpoch(); epoch != d.epoch {
		d.epoch, d.seq = epoch, 0
	}
	records, last := d.Origins.OwnOrigins(d.seq, maxPerRequest)
	// In pools without versions, a stream may go on at any endpoint.
	records = slices.DeleteFunc(records, func(r registrar.Record) bool { return r.Version == "" })
	if len(records) == 0 && (!refresh || now.Sub(d.sentAt) > registrar.Retention) {
		more, d.seq = last != d.seq, last
		return more
	}
	reply := &duplicatorpb.KeepReply{}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.Network.Call(callCtx, peer.Addr, Method, &duplicatorpb.KeepRequest{Streams: coordinator.EncodeStreams(records)}, reply)
	if err != nil {
		d.passOver(peer, err)
		return ctx.Err() == nil
	}
	if len(records) > 0 {
		d.sentAt = now
	}
	if d.holderProcess != 0 && reply.GetProcess() != d.holderProcess {
		klog.InfoS("duplicator: holder has restarted", "holder", peer.ID)
		last = 0
	}
	more = last != d.seq
	d.holderProcess, d.seq = reply.GetProcess(), last
	return more
}

// choose returns the host that keeps the copy: the one that follows this host in the order of the IDs, of the same zone if there is one.
// Hosts of one zone report to the same coordinator, so that after its loss the holder tells the next one what it keeps.
func (d *Duplicator) choose(now time.Time) (Peer, bool) {
	peers := slices.DeleteFunc(slices.Clone(d.Peers()), func(p Peer) bool { return now.Before(d.passedOverUntil[p.ID]) })
	if len(peers) == 0 {
		return Peer{}, false
	}
	// A lower rank goes first: the zone, then whether the host follows this one.
	rank := func(p Peer) int {
		n := 0
		if p.Zone != d.Zone {
			n += 2
		}
		if p.ID < d.HostID {
			n++
		}
		return n
	}
	return slices.MinFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), strings.Compare(a.ID, b.ID))
	}), true
}

// passOver makes choose return another host for some time.
func (d *Duplicator) passOver(p Peer, err error) {
	delay := retryDelay
	var remote *transporter.RemoteError
	if errors.As(err, &remote) && remote.Code == transporter.CodeUnknownMethod {
		delay = unsupportedDelay
	}
	klog.V(1).Infof("duplicator: copy not sent holder=%s retry_after=%v reason=%q", p.ID, delay, err)
	now := time.Now()
	for id, until := range d.passedOverUntil {
		if now.After(until) {
			delete(d.passedOverUntil, id)
		}
	}
	d.passedOverUntil[p.ID] = now.Add(delay)
}

// Handle answers Method.
func (d *Duplicator) Handle(payload []byte) ([]byte, error) {
	r := &duplicatorpb.KeepRequest{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	if records := coordinator.DecodeStreams(r.GetStreams()); len(records) > 0 {
		d.Origins.KeepOrigins(records)
	}
	return proto.Marshal(&duplicatorpb.KeepReply{Process: d.process})
}
