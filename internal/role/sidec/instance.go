package sidec

import (
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/wire/frame"
)

// requireInstance refuses POST requests that are addressed to another instance: a stale caller may reach this process
// at an address that the other instance used before. Requests that resume or cancel a stream pass, since they identify
// it by its id.
func requireInstance(instance, vm, controlPrefix string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked := r.Header.Get(frame.InstanceHeader)
		if asked == "" || asked == instance || r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		f := fault.New(fault.Unready, "accept", vm,
			"request is for instance %q, but instance %q listens at this address", asked, instance).WithHolder(asked)
		if strings.HasPrefix(r.URL.Path, controlPrefix) {
			_ = twirp.WriteError(w, fault.ToTwirp(f, f.Step, vm))
			return
		}
		fault.WriteJSON(w, f)
	})
}
