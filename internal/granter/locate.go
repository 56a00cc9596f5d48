package granter

import (
	"context"
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
)

// Transport methods between entry hosts and holders.
const (
	MethodSession = "granter.session"
	MethodClaim   = "granter.claim"
	MethodLocate  = "granter.locate"
)

// NoHolderError reports that the pool has no running holder: none is known, or the addressed host does not hold the pool's lease.
type NoHolderError struct{ Pool string }

// Error implements error.
func (e *NoHolderError) Error() string { return fmt.Sprintf("pool %s has no holder here", e.Pool) }

// ErrorCode implements transporter.ErrorCoder.
func (e *NoHolderError) ErrorCode() string { return "no_holder" }

// Claim binds an idempotency key to a request at the holder of the session's pool, and returns the request that holds the key.
func (s *Session) Claim(ctx context.Context, c indexer.Claim) (indexer.Location, error) {
	_, addr, epoch, ok := s.Locator.Holder(RoleOf(s.Pool))
	if !ok {
		return indexer.Location{}, &NoHolderError{Pool: s.Pool}
	}
	ctx, cancel := context.WithTimeout(ctx, s.receiveTimeout())
	defer cancel()
	req := &granterpb.ClaimRequest{Pool: s.Pool, Epoch: epoch, Host: s.Host, Claim: translator.EncodeClaim(c)}
	resp := &granterpb.Located{}
	if err := s.Transport.Call(ctx, addr, MethodClaim, req, resp); err != nil {
		return indexer.Location{}, err
	}
	return translator.DecodeLocation(resp), nil
}

// Locate returns where a request is according to the holder of the session's pool. The State of an unknown request is empty.
func (s *Session) Locate(ctx context.Context, id string) (indexer.Location, error) {
	_, addr, _, ok := s.Locator.Holder(RoleOf(s.Pool))
	if !ok {
		return indexer.Location{}, &NoHolderError{Pool: s.Pool}
	}
	ctx, cancel := context.WithTimeout(ctx, s.receiveTimeout())
	defer cancel()
	resp := &granterpb.Located{}
	if err := s.Transport.Call(ctx, addr, MethodLocate, &granterpb.LocateRequest{Pool: s.Pool, RequestId: id}, resp); err != nil {
		return indexer.Location{}, err
	}
	return translator.DecodeLocation(resp), nil
}
