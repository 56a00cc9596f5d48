// Package authenticator performs the handshake on a connection between two hosts of the system.
//
// Each side proves that it has the shared key by an HMAC over both nonces and identities. The handshake authenticates the
// connection but does not encrypt it, so confidentiality depends on a trusted network between the hosts.
package authenticator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/authenticator/authenticatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/framer"
)

const (
	// protocolVersion is increased by incompatible changes to frames or the handshake.
	protocolVersion = 1
	nonceBytes      = 32
	// handshakeFrameBytes limits the memory that an unauthenticated peer can make this host allocate.
	handshakeFrameBytes = 4 << 10
)

// Peer is the authenticated host at the other end of a connection.
type Peer struct {
	HostID string
	Zone   string
	// Addr is the address at which the peer accepts connections.
	Addr string
}

// Authenticator performs handshakes with this host's identity and the shared key.
type Authenticator struct {
	HostID string
	Zone   string
	Addr   string
	Key    []byte
	// Timeout is the time limit of the whole handshake.
	Timeout time.Duration
}

// HandshakeError reports that this host rejected the peer or the peer rejected this host.
type HandshakeError struct {
	Remote string
	Reason string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: %s", e.Remote, e.Reason)
}

func (a *Authenticator) newHello() (*authenticatorpb.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, eris.Wrap(err, "read nonce")
	}
	return &authenticatorpb.Hello{
		Version: protocolVersion,
		HostId:  a.HostID,
		Zone:    a.Zone,
		Addr:    a.Addr,
		Nonce:   nonce,
	}, nil
}

// computeProof returns the HMAC of role, nonces and identities. Covering all of them prevents an attacker from reflecting a proof
// to its sender or reusing it on another connection.
func (a *Authenticator) computeProof(role string, dialer, listener *authenticatorpb.Hello) []byte {
	mac := hmac.New(sha256.New, a.Key)
	for _, part := range [][]byte{
		[]byte(role),
		dialer.GetNonce(), []byte(dialer.GetHostId()), []byte(dialer.GetZone()), []byte(dialer.GetAddr()),
		listener.GetNonce(), []byte(listener.GetHostId()), []byte(listener.GetZone()), []byte(listener.GetAddr()),
	} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func validateHello(remote string, h *authenticatorpb.Hello) error {
	if h.GetVersion() != protocolVersion {
		return &HandshakeError{Remote: remote, Reason: fmt.Sprintf("protocol version %d, want %d", h.GetVersion(), protocolVersion)}
	}
	if len(h.GetNonce()) != nonceBytes || h.GetHostId() == "" {
		return &HandshakeError{Remote: remote, Reason: "malformed hello"}
	}
	return nil
}

func peerOf(h *authenticatorpb.Hello) Peer {
	return Peer{HostID: h.GetHostId(), Zone: h.GetZone(), Addr: h.GetAddr()}
}

// Dial performs the handshake on a connection that this host dialed and returns the authenticated listener.
func (a *Authenticator) Dial(conn net.Conn) (Peer, error) {
	remote := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(a.Timeout))
	ownHello, err := a.newHello()
	if err != nil {
		return Peer{}, err
	}
	if err := framer.Write(conn, ownHello, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send hello")
	}
	peerHello := &authenticatorpb.Hello{}
	if err := framer.Read(conn, peerHello, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive hello")
	}
	if err := validateHello(remote, peerHello); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(peerHello.GetProof(), a.computeProof("listener", ownHello, peerHello)) {
		return Peer{}, &HandshakeError{Remote: remote, Reason: "the listener does not hold the shared key"}
	}
	proof := &authenticatorpb.Proof{Proof: a.computeProof("dialer", ownHello, peerHello)}
	if err := framer.Write(conn, proof, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send proof")
	}
	welcome := &authenticatorpb.Welcome{}
	if err := framer.Read(conn, welcome, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive welcome")
	}
	if welcome.GetError() != "" {
		return Peer{}, &HandshakeError{Remote: remote, Reason: welcome.GetError()}
	}
	return peerOf(peerHello), conn.SetDeadline(time.Time{})
}

// Accept performs the handshake on a connection that this host accepted and returns the authenticated dialer.
func (a *Authenticator) Accept(conn net.Conn) (Peer, error) {
	remote := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(a.Timeout))
	peerHello := &authenticatorpb.Hello{}
	if err := framer.Read(conn, peerHello, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive hello")
	}
	if err := validateHello(remote, peerHello); err != nil {
		return Peer{}, err
	}
	ownHello, err := a.newHello()
	if err != nil {
		return Peer{}, err
	}
	ownHello.Proof = a.computeProof("listener", peerHello, ownHello)
	if err := framer.Write(conn, ownHello, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send hello")
	}
	proof := &authenticatorpb.Proof{}
	if err := framer.Read(conn, proof, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive proof")
	}
	if !hmac.Equal(proof.GetProof(), a.computeProof("dialer", peerHello, ownHello)) {
		_ = framer.Write(conn, &authenticatorpb.Welcome{Error: "wrong shared key"}, handshakeFrameBytes)
		return Peer{}, &HandshakeError{Remote: remote, Reason: "the dialer does not hold the shared key"}
	}
	if err := framer.Write(conn, &authenticatorpb.Welcome{}, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send welcome")
	}
	return peerOf(peerHello), conn.SetDeadline(time.Time{})
}
