package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/state/prog"
)

// RunPrograms runs programs concurrently, each of the given number of turns with a pause after each, and measures the
// turns.
func RunPrograms(ctx context.Context, t Target, programs, turns int, pause time.Duration) *Result {
	res := NewResult()
	g := group.New(ctx)
	start := time.Now()
	for range programs {
		g.Go(func(ctx context.Context) error {
			id, err := t.createProgram(ctx)
			if err != nil {
				res.record(0, 0, err)
				return nil
			}
			for range turns {
				turnStart := time.Now()
				err := t.post(ctx, "/v1/programs/"+id+"/calls",
					callRequest{Messages: []prog.Message{prog.NewTextMessage("user", "kia ora")}}, nil)
				res.record(time.Since(turnStart), time.Since(turnStart), err)
				time.Sleep(pause)
			}
			return nil
		})
	}
	_ = g.Wait()
	res.Seconds = float64(time.Since(start).Microseconds()) / microsPerSec
	return res
}

type callRequest struct {
	Messages []prog.Message `json:"messages"`
}

type programRequest struct {
	Model string `json:"model"`
}

func (t Target) createProgram(ctx context.Context) (string, error) {
	var p struct {
		Program string `json:"program"`
	}
	err := t.post(ctx, "/v1/programs", programRequest{t.Model}, &p)
	return p.Program, err
}

// post sends request as JSON and decodes the JSON response into response unless that is nil.
func (t Target) post(ctx context.Context, path string, request, response any) error {
	b, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+t.Key)
	resp, err := t.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("POST %s: status %d: %s", path, resp.StatusCode, responseBody)
	}
	if response == nil {
		return nil
	}
	return json.Unmarshal(responseBody, response)
}
