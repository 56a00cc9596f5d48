package granter

import (
	"context"
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
)

// Methods of the exchanges between entry hosts and holders.
const (
	MethodSession = "granter.session"
	MethodClaim   = "granter.claim"
	MethodLocate  = "granter.locate"
)

// StoppedError reports that a holder no longer acts.
type StoppedError struct{ Pool string }

// Error implements error.
func (e *StoppedError) Error() string { return fmt.Sprintf("pool %s has no holder here", e.Pool) }

// ErrorCode implements transporter.Coder.
func (e *StoppedError) ErrorCode() string { return "no_holder" }

// Claim asks the holder of the session's pool which request holds a key.
func (s *Session) Claim(ctx context.Context, c indexer.Claim) (indexer.Location, error) {
	_, addr, epoch, ok := s.Locator.Holder(RoleOf(s.Pool))
	if !ok {
		return indexer.Location{}, &StoppedError{Pool: s.Pool}
	}
	ctx, cancel := context.WithTimeout(ctx, s.silenceLimit())
	defer cancel()
	req := &granterpb.ClaimRequest{Pool: s.Pool, Epoch: epoch, Host: s.Host, Claim: translator.EncodeClaim(c)}
	resp := &granterpb.Located{}
	if err := s.Transport.Call(ctx, addr, MethodClaim, req, resp); err != nil {
		return indexer.Location{}, err
	}
	return translator.DecodeLocation(resp), nil
}

// Locate asks the holder of the session's pool where a request is. An unknown request has an empty State.
func (s *Session) Locate(ctx context.Context, id string) (indexer.Location, error) {
	_, addr, _, ok := s.Locator.Holder(RoleOf(s.Pool))
	if !ok {
		return indexer.Location{}, &StoppedError{Pool: s.Pool}
	}
	ctx, cancel := context.WithTimeout(ctx, s.silenceLimit())
	defer cancel()
	resp := &granterpb.Located{}
	if err := s.Transport.Call(ctx, addr, MethodLocate, &granterpb.LocateRequest{Pool: s.Pool, RequestId: id}, resp); err != nil {
		return indexer.Location{}, err
	}
	return translator.DecodeLocation(resp), nil
}
