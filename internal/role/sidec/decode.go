package sidec

import (
	"encoding/json"
	"io"
)

// maxEngineBody bounds the lists and states that are read from an engine.
const maxEngineBody = 4 << 20

// decodeEngine decodes the body of an engine's response, of which at most maxEngineBody are read.
func decodeEngine(body io.Reader, v any) error {
	return json.NewDecoder(io.LimitReader(body, maxEngineBody)).Decode(v)
}
