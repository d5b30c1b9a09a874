// Package rpc serves callers and operators over gRPC. It does not use go-zero's zrpc, which wraps the same
// library but depends on the client of an external coordination service; see docs/DESIGN.md.
package rpc

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
)

// principal is the identity of a caller according to its credentials.
type principal struct {
	tokenHash   string // hex SHA-256 of the bearer token, "" for none
	certificate string // common name of the verified client certificate, "" for none
}

const bearer = "Bearer "

// principalOf returns the principal of a call.
func principalOf(ctx context.Context) principal {
	var p principal
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		for _, v := range md.Get("authorization") {
			if strings.HasPrefix(v, bearer) {
				sum := sha256.Sum256([]byte(strings.TrimPrefix(v, bearer)))
				p.tokenHash = hex.EncodeToString(sum[:])
			}
		}
	}
	if from, ok := peer.FromContext(ctx); ok {
		if info, ok := from.AuthInfo.(credentials.TLSInfo); ok && len(info.State.VerifiedChains) > 0 {
			p.certificate = info.State.VerifiedChains[0][0].Subject.CommonName
		}
	}
	return p
}

// none reports whether a call has no credentials.
func (p principal) none() bool { return p.tokenHash == "" && p.certificate == "" }

// listed reports whether the principal's token or certificate is among those given.
func (p principal) listed(tokens, certificates []string) bool {
	return p.tokenHash != "" && slices.Contains(tokens, p.tokenHash) ||
		p.certificate != "" && slices.Contains(certificates, p.certificate)
}

// mayUse returns an error if the principal may not use a workspace. For principals with known credentials an
// unknown workspace passes here and is rejected by the box.
func (p principal) mayUse(c *config.Config, workspace string, anyone bool) *code.Error {
	if c == nil {
		return nil // the box refuses as not ready
	}
	w := c.Workspace(workspace)
	if w != nil && p.listed(w.TokensSHA256(), w.CertificateNames()) {
		return nil
	}
	open := w == nil || len(w.TokensSHA256()) == 0 && len(w.CertificateNames()) == 0
	if anyone && open {
		return nil
	}
	if !c.KnowsCredential(p.tokenHash) && !c.KnowsCredential(p.certificate) {
		return code.New(code.Unauthenticated, "authorization", "no valid token or certificate")
	}
	if w == nil {
		return nil
	}
	return code.New(code.NotYourWorkspace, "workspace", "the credentials are bound to another workspace")
}

// AuthorizeHead decides on a call by its head alone: calls without known credentials are refused before their message is read.
func AuthorizeHead(ctx context.Context, method string, c *config.Config, s *config.Settings) *code.Error {
	p := principalOf(ctx)
	switch {
	case strings.HasPrefix(method, "/"+pb.Operations_ServiceDesc.ServiceName+"/"):
		return p.mayOperate(s.Operators)
	case !strings.HasPrefix(method, "/"+pb.Pipelines_ServiceDesc.ServiceName+"/"), c == nil, s.Callers.Anyone:
		return nil
	case !c.KnowsCredential(p.tokenHash) && !c.KnowsCredential(p.certificate):
		return code.New(code.Unauthenticated, "authorization", "no valid token or certificate")
	}
	return nil
}

// mayOperate returns an error if the principal may not call Operations.
func (p principal) mayOperate(s config.OperatorSettings) *code.Error {
	switch {
	case s.Anyone, p.listed(s.TokensSHA256, s.CertificateNames):
		return nil
	case p.none():
		return code.New(code.Unauthenticated, "authorization", "no token or certificate")
	}
	return code.New(code.NotAnOperator, "authorization", "the credentials are not an operator's")
}
