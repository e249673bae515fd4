package runner

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"galenaward.example/galenaward/internal/wire/peer"
)

// Fingerprint hashes the content of a request. Requests with the same content have the same fingerprint, whoever sends
// them.
func Fingerprint(req peer.RunRequest) uint64 {
	h := xxhash.New()
	enc := json.NewEncoder(h)
	if m := req.Model; m != nil {
		_ = enc.Encode(m.Name)
		_ = enc.Encode(m.Messages)
	}
	if s := req.Service; s != nil {
		_ = enc.Encode(s.Name)
		_ = enc.Encode(s.Body)
	}
	return h.Sum64()
}
