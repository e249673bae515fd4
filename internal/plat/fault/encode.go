package fault

import (
	"encoding/json"
	"net/http"

	"github.com/twitchtv/twirp"
)

// metaKey is the key of Twirp's error metadata under which the fault is encoded.
const metaKey = "fault"

// ToTwirp converts err to a Twirp error that carries the complete fault in its metadata.
func ToTwirp(err error, step, peer string) error {
	f := FromError(err, step, peer)
	b, marshalErr := json.Marshal(f)
	if marshalErr != nil {
		return twirp.InternalErrorWith(marshalErr)
	}
	return twirp.NewError(twirp.FailedPrecondition, f.Message).WithMeta(metaKey, string(b))
}

// FromTwirp converts an error of a Twirp client back to a fault. A transport error becomes PeerUnreachable with the
// given outcome, since the peer may have received the request.
func FromTwirp(err error, step, peer string, o Outcome) *Fault {
	twirpErr, ok := err.(twirp.Error)
	if ok && twirpErr.Meta(metaKey) != "" {
		f := &Fault{}
		if json.Unmarshal([]byte(twirpErr.Meta(metaKey)), f) == nil {
			return f
		}
	}
	return New(PeerUnreachable, step, peer, "%s", err).WithOutcome(o)
}

// WriteJSON writes the fault as an HTTP error response in the format of the public API.
func WriteJSON(w http.ResponseWriter, f *Fault) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Code.Status())
	_ = json.NewEncoder(w).Encode(struct {
		Error *Fault `json:"error"`
	}{f})
}
