package entry

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"slices"
	"strings"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

const (
	keyPrefix    = "gk_"
	keyIDLength  = 12
	secretLength = 26
	stepAuth     = "authenticate"
	operatorID   = "operator"
	// maxSettingsSilence is how long an entry accepts keys without an answer from the log or another process. After
	// that it may have missed the withdrawal of a key.
	maxSettingsSilence = 10 * time.Second
)

// identity identifies the sender of a request.
type identity struct {
	// Key is the id of the key and Workspace its workspace. An operator has no workspace.
	Key, Workspace string
	Operator       bool
}

type identityKey struct{}

func identityOf(ctx context.Context) identity {
	id, _ := ctx.Value(identityKey{}).(identity)
	return id
}

// newSecret generates the id and the secret of a key.
func newSecret() (id, secret string) {
	id = strings.ToLower(rand.Text()[:keyIDLength])
	return id, keyPrefix + id + "_" + strings.ToLower(rand.Text()[:secretLength])
}

// HandleBearer authenticates the request by its key and applies the workspace's rate limit.
func (h *handler) HandleBearer(ctx context.Context, op oasgen.OperationName, t oasgen.Bearer) (context.Context, error) {
	e := h.entry
	if e.isOperator(t.Token) {
		return context.WithValue(ctx, identityKey{}, identity{Key: operatorID, Operator: true}), nil
	}
	if e.store.SinceConfirmed() > maxSettingsSilence {
		return ctx, fault.New(fault.Unready, stepAuth, e.vm,
			"neither the log nor another process has answered for %v, so keys cannot be checked",
			maxSettingsSilence).WithRetryAfter(time.Second)
	}
	k, ok := e.store.State().KeyBySecret(t.Token)
	if !ok {
		return ctx, fault.New(fault.Unauthenticated, stepAuth, e.vm, "the key is not known")
	}
	if k.Withdrawn {
		return ctx, fault.New(fault.KeyWithdrawn, stepAuth, e.vm, "key %q was withdrawn", k.ID)
	}
	if operatorOnly(op) {
		return ctx, fault.New(fault.Forbidden, stepAuth, e.vm, "operation %s needs an operator's key", op)
	}
	if f := e.limiter.Admit(ctx, k.Workspace); f != nil {
		return ctx, f
	}
	return context.WithValue(ctx, identityKey{}, identity{Key: k.ID, Workspace: k.Workspace}), nil
}

func (e *Entry) isOperator(secret string) bool {
	d := []byte(conf.SecretDigest(secret))
	return slices.ContainsFunc(e.conf.OperatorKeyDigests, func(o string) bool {
		return subtle.ConstantTimeCompare(d, []byte(o)) == 1
	})
}

// callerOperations are the operations that callers may use. All others need an operator's key.
var callerOperations = []oasgen.OperationName{
	oasgen.CreateProgramOperation, oasgen.ReadProgramOperation, oasgen.EndProgramOperation,
	oasgen.CallModelOperation, oasgen.CallServiceOperation, oasgen.ChatCompletionOperation,
}

func operatorOnly(op oasgen.OperationName) bool { return !slices.Contains(callerOperations, op) }

// caller returns the identity of a caller. It rejects operators' keys, which have no workspace.
func (h *handler) caller(ctx context.Context) (identity, error) {
	id := identityOf(ctx)
	if id.Operator {
		return id, fault.New(fault.Forbidden, stepAuth, h.entry.vm,
			"an operator's key cannot run calls; issue a key for a workspace")
	}
	return id, nil
}
