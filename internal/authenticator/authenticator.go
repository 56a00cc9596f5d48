// Package authenticator performs the handshake between two of the system's processes.
//
// Both ends prove the shared key by an HMAC over both nonces and identities. The handshake authenticates the connection;
// it does not encrypt it, so the hosts' network must be trusted for confidentiality.
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
	// protocolVersion is raised when frames or the handshake change incompatibly.
	protocolVersion = 1
	nonceBytes      = 32
	// handshakeFrameBytes bounds what an unauthenticated peer can make this side allocate.
	handshakeFrameBytes = 4 << 10
)

// Peer is the authenticated other end of a connection.
type Peer struct {
	HostID string
	Zone   string
	// Addr is where the peer accepts connections.
	Addr string
}

// Authenticator holds this host's identity and the shared key.
type Authenticator struct {
	HostID string
	Zone   string
	Addr   string
	Key    []byte
	// Timeout bounds the whole handshake.
	Timeout time.Duration
}

// HandshakeError reports a peer that was refused, or that refused this host.
type HandshakeError struct {
	Remote string
	Reason string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: %s", e.Remote, e.Reason)
}

func (a *Authenticator) hello() (*authenticatorpb.Hello, error) {
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

// proof binds the role, both nonces and both identities, so that a proof cannot be reflected or moved.
func (a *Authenticator) proof(role string, dialer, listener *authenticatorpb.Hello) []byte {
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

func checkHello(remote string, h *authenticatorpb.Hello) error {
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

// Dial performs the dialer's side and returns the authenticated listener.
func (a *Authenticator) Dial(conn net.Conn) (Peer, error) {
	remote := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(a.Timeout))
	own, err := a.hello()
	if err != nil {
		return Peer{}, err
	}
	if err := framer.Write(conn, own, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send hello")
	}
	theirs := &authenticatorpb.Hello{}
	if err := framer.Read(conn, theirs, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive hello")
	}
	if err := checkHello(remote, theirs); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(theirs.GetProof(), a.proof("listener", own, theirs)) {
		return Peer{}, &HandshakeError{Remote: remote, Reason: "the listener does not hold the shared key"}
	}
	answer := &authenticatorpb.Proof{Proof: a.proof("dialer", own, theirs)}
	if err := framer.Write(conn, answer, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send proof")
	}
	welcome := &authenticatorpb.Welcome{}
	if err := framer.Read(conn, welcome, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive welcome")
	}
	if welcome.GetError() != "" {
		return Peer{}, &HandshakeError{Remote: remote, Reason: welcome.GetError()}
	}
	return peerOf(theirs), conn.SetDeadline(time.Time{})
}

// Accept performs the listener's side and returns the authenticated dialer.
func (a *Authenticator) Accept(conn net.Conn) (Peer, error) {
	remote := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(a.Timeout))
	theirs := &authenticatorpb.Hello{}
	if err := framer.Read(conn, theirs, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive hello")
	}
	if err := checkHello(remote, theirs); err != nil {
		return Peer{}, err
	}
	own, err := a.hello()
	if err != nil {
		return Peer{}, err
	}
	own.Proof = a.proof("listener", theirs, own)
	if err := framer.Write(conn, own, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send hello")
	}
	answer := &authenticatorpb.Proof{}
	if err := framer.Read(conn, answer, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive proof")
	}
	if !hmac.Equal(answer.GetProof(), a.proof("dialer", theirs, own)) {
		_ = framer.Write(conn, &authenticatorpb.Welcome{Error: "wrong shared key"}, handshakeFrameBytes)
		return Peer{}, &HandshakeError{Remote: remote, Reason: "the dialer does not hold the shared key"}
	}
	if err := framer.Write(conn, &authenticatorpb.Welcome{}, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send welcome")
	}
	return peerOf(theirs), conn.SetDeadline(time.Time{})
}
