// Package gossiper tells the entry hosts to each other what each of them has in progress, in datagrams.
//
// Every datagram replaces the earlier ones of its process and carries totals, so that loss, repetition and reordering do no
// harm. Datagrams are authenticated by the key that all hosts share.
package gossiper

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"expvar"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/gossiper/gossiperpb"
)

const (
	// DefaultInterval is the time between two datagrams to each peer. A place that a peer's request leaves stays empty for this
	// time; it is a few percent of the time that a stream holds a place.
	DefaultInterval = 25 * time.Millisecond
	// calmTicks is the number of intervals between two datagrams while there are places enough. Nobody waits for one then, and
	// the bytes between availability zones have a price.
	calmTicks = 4
	// maxDatagram is the largest payload of a datagram.
	maxDatagram = 60 << 10
	macBytes    = 16
	// keepBytes sizes the receive buffer.
	keepBytes = 64 << 10
)

var countDatagrams = expvar.NewMap("gossiper_datagrams")

// Gossiper exchanges states with peers. Set the exported fields before Run.
type Gossiper struct {
	HostID string
	// Addr is the address of this host for datagrams.
	Addr string
	Key  []byte
	// Interval defaults to DefaultInterval.
	Interval time.Duration
	// Peers returns the addresses of the other entry hosts.
	Peers func() []string
	// Busy reports whether places are scarce, so that peers should hear of each one at once.
	Busy func() bool
	// State returns what to tell, or nil if nothing is new; host, process, sequence and age are filled in.
	State func() *gossiperpb.State
	// Heard takes the newest state of a peer.
	Heard func(*gossiperpb.State)

	started time.Time
	process uint64
	seq     uint64
	conn    net.PacketConn
	last    map[string]lastSeen
	wg      sync.WaitGroup
}

type lastSeen struct {
	process, seq uint64
}

// Listen binds the address.
func (g *Gossiper) Listen() error {
	conn, err := net.ListenPacket("udp", g.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen for datagrams on %s", g.Addr)
	}
	g.conn, g.started, g.process, g.last = conn, time.Now(), rand.Uint64(), map[string]lastSeen{}
	return nil
}

// Run sends and receives until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.wg.Go(g.receive)
	interval := g.Interval
	if interval <= 0 {
		interval = DefaultInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for calm := 0; ; {
		select {
		case <-ctx.Done():
			err := g.conn.Close()
			g.wg.Wait()
			return err
		case <-tick.C:
			if calm++; calm >= calmTicks || g.Busy() {
				calm = 0
				g.tell()
			}
		}
	}
}

// tell sends the state of this host to all peers.
func (g *Gossiper) tell() {
	peers := g.Peers()
	if len(peers) == 0 {
		return
	}
	s := g.State()
	if s == nil {
		return
	}
	g.seq++
	s.Host, s.Process, s.Seq, s.AgeMs = g.HostID, g.process, g.seq, uint64(time.Since(g.started).Milliseconds())
	raw, err := proto.Marshal(s)
	if err != nil || len(raw) > maxDatagram {
		countDatagrams.Add("not_sent", 1)
		klog.Errorf("gossiper: state cannot be sent bytes=%d reason=%v", len(raw), err)
		return
	}
	raw = append(raw, g.mac(raw)...)
	for _, addr := range peers {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err == nil {
			_, err = g.conn.WriteTo(raw, to)
		}
		if err != nil {
			countDatagrams.Add("failed", 1)
			klog.V(1).Infof("gossiper: datagram not sent peer=%s reason=%q", addr, err)
			continue
		}
		countDatagrams.Add("sent", 1)
	}
}

func (g *Gossiper) mac(raw []byte) []byte {
	h := hmac.New(sha256.New, g.Key)
	h.Write(raw)
	return h.Sum(nil)[:macBytes]
}

func (g *Gossiper) receive() {
	buffer := make([]byte, keepBytes)
	for {
		n, from, err := g.conn.ReadFrom(buffer)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			klog.V(1).Infof("gossiper: read failed reason=%q", err)
			continue
		}
		s, err := g.decode(buffer[:n])
		if err != nil {
			countDatagrams.Add("refused", 1)
			klog.Warningf("gossiper: datagram refused from=%s reason=%q", from, err)
			continue
		}
		if g.newer(s) {
			countDatagrams.Add("received", 1)
			g.Heard(s)
		}
	}
}

func (g *Gossiper) decode(raw []byte) (*gossiperpb.State, error) {
	if len(raw) < macBytes {
		return nil, eris.New("too short")
	}
	body, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(mac, g.mac(body)) {
		return nil, eris.New("wrong key")
	}
	s := &gossiperpb.State{}
	return s, eris.Wrap(proto.Unmarshal(body, s), "decode")
}

// newer drops a datagram that a later one of its process has overtaken, and those that come back to their sender.
func (g *Gossiper) newer(s *gossiperpb.State) bool {
	last, known := g.last[s.GetHost()]
	if s.GetHost() == g.HostID {
		return false
	}
	if known && last.process == s.GetProcess() && s.GetSeq() <= last.seq {
		return false
	}
	g.last[s.GetHost()] = lastSeen{process: s.GetProcess(), seq: s.GetSeq()}
	return true
}
