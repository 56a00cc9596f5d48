package transporter

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/transporter/transporterpb"
)

const (
	// protocolVersion is raised when frames or the handshake change incompatibly.
	protocolVersion = 1
	nonceBytes      = 32
	// handshakeFrameBytes bounds what an unauthenticated peer can make this side allocate.
	handshakeFrameBytes = 4 << 10
)

// HandshakeError reports a peer that was refused, or that refused this host.
type HandshakeError struct {
	Remote string
	Reason string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: %s", e.Remote, e.Reason)
}

func (t *Transport) hello() (*transporterpb.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, eris.Wrap(err, "read nonce")
	}
	return &transporterpb.Hello{
		Version: protocolVersion,
		HostId:  t.HostID,
		Zone:    t.Zone,
		Addr:    t.Addr(),
		Nonce:   nonce,
	}, nil
}

// proof binds the role, both nonces and both identities, so that a proof cannot be reflected or moved.
func (t *Transport) proof(role string, dialer, listener *transporterpb.Hello) []byte {
	mac := hmac.New(sha256.New, t.Key)
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

func checkHello(remote string, h *transporterpb.Hello) error {
	if h.GetVersion() != protocolVersion {
		return &HandshakeError{Remote: remote, Reason: fmt.Sprintf("protocol version %d, want %d", h.GetVersion(), protocolVersion)}
	}
	if len(h.GetNonce()) != nonceBytes || h.GetHostId() == "" {
		return &HandshakeError{Remote: remote, Reason: "malformed hello"}
	}
	return nil
}

func peerOf(h *transporterpb.Hello) Peer {
	return Peer{HostID: h.GetHostId(), Zone: h.GetZone(), Addr: h.GetAddr()}
}

func (t *Transport) handshakeDial(conn net.Conn) (Peer, error) {
	remote := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(t.dialTimeout()))
	own, err := t.hello()
	if err != nil {
		return Peer{}, err
	}
	if err := writeFrame(conn, own, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send hello")
	}
	theirs := &transporterpb.Hello{}
	if err := readFrame(conn, theirs, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive hello")
	}
	if err := checkHello(remote, theirs); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(theirs.GetProof(), t.proof("listener", own, theirs)) {
		return Peer{}, &HandshakeError{Remote: remote, Reason: "the listener does not hold the shared key"}
	}
	answer := &transporterpb.Proof{Proof: t.proof("dialer", own, theirs)}
	if err := writeFrame(conn, answer, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send proof")
	}
	welcome := &transporterpb.Welcome{}
	if err := readFrame(conn, welcome, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive welcome")
	}
	if welcome.GetError() != "" {
		return Peer{}, &HandshakeError{Remote: remote, Reason: welcome.GetError()}
	}
	return peerOf(theirs), conn.SetDeadline(time.Time{})
}

func (t *Transport) handshakeAccept(conn net.Conn) (Peer, error) {
	remote := conn.RemoteAddr().String()
	_ = conn.SetDeadline(time.Now().Add(t.dialTimeout()))
	theirs := &transporterpb.Hello{}
	if err := readFrame(conn, theirs, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive hello")
	}
	if err := checkHello(remote, theirs); err != nil {
		return Peer{}, err
	}
	own, err := t.hello()
	if err != nil {
		return Peer{}, err
	}
	own.Proof = t.proof("listener", theirs, own)
	if err := writeFrame(conn, own, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send hello")
	}
	answer := &transporterpb.Proof{}
	if err := readFrame(conn, answer, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "receive proof")
	}
	if !hmac.Equal(answer.GetProof(), t.proof("dialer", theirs, own)) {
		_ = writeFrame(conn, &transporterpb.Welcome{Error: "wrong shared key"}, handshakeFrameBytes)
		return Peer{}, &HandshakeError{Remote: remote, Reason: "the dialer does not hold the shared key"}
	}
	if err := writeFrame(conn, &transporterpb.Welcome{}, handshakeFrameBytes); err != nil {
		return Peer{}, eris.Wrap(err, "send welcome")
	}
	return peerOf(theirs), conn.SetDeadline(time.Time{})
}
