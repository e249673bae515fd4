package peers

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// TestOddEntryDoesNotHideTheOthers guards against a VM list that is not followed any more since one entry of another writer
// cannot be decoded.
func TestOddEntryDoesNotHideTheOthers(t *testing.T) {
	const sound = `{"vm":"s1","role":"sidecar","data_centre":"a","address":"127.0.0.1:7000"}`
	tests := []struct{ name, entry string }{
		{"deeply nested", `{"vm":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`},
		{"number too large", `{"vm":"x","role":"sidecar","address":1e999}`},
		{"number for a text", `{"vm":7,"role":"sidecar","address":"127.0.0.1:7001"}`},
		{"port out of range", `{"vm":"x","role":"sidecar","address":"127.0.0.1:65536"}`},
		{"no port", `{"vm":"x","role":"sidecar","address":"127.0.0.1"}`},
		{"no object", `[]`},
		{"null", `null`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			reads := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				reads++
				_, _ = fmt.Fprintf(w, `{"vms":[%s,%s]}`, tt.entry, sound)
			}))
			defer srv.Close()
			l := NewVMList(srv.URL, time.Second, srv.Client(), log.NewNopLogger())
			is.NoErr(l.read(t.Context()))
			is.Equal(reads, 1)
			is.Equal(l.All(RoleSidecar), []VM{{Name: "s1", Role: RoleSidecar, DataCentre: "a", Address: "127.0.0.1:7000"}})
		})
	}
}
