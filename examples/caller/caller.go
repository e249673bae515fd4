// Package caller is a small client of galenaward's API for the examples. It uses only the standard library.
package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Caller sends requests with a caller's key.
type Caller struct {
	URL, Key string
	// Program is the id that goes into the header Galenaward-Program, the only one that galenaward adds to the
	// chat-completions API.
	Program string
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is a chat completion.
type Completion struct {
	Choices []struct {
		Message Message `json:"message"`
	} `json:"choices"`
}

// APIError is an error response.
type APIError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Outcome is not_run, ran or unknown.
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Error implements error.
func (e *APIError) Error() string { return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message) }

// FromArgs returns a caller for the arguments URL and KEY. If there are not just these, it prints the usage and exits.
func FromArgs() Caller {
	if len(os.Args) != 3 {
		fmt.Fprintf(os.Stderr, "usage: %s URL KEY\n", os.Args[0])
		os.Exit(2)
	}
	return Caller{URL: os.Args[1], Key: os.Args[2]}
}

// Post sends request as JSON and decodes the JSON response into response. Error responses are returned as *APIError.
func (c Caller) Post(path string, request, response any) error {
	b, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, c.URL+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Galenaward-Program", c.Program)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode < http.StatusBadRequest {
		return json.Unmarshal(responseBody, response)
	}
	var e struct {
		Error APIError `json:"error"`
	}
	if err := json.Unmarshal(responseBody, &e); err != nil {
		return err
	}
	return &e.Error
}

// NewProgram creates a program, as a sub-agent of parent if that is not empty, and returns its id.
func (c Caller) NewProgram(model, parent string) (string, error) {
	req := struct {
		Model  string `json:"model"`
		Parent string `json:"parent,omitempty"`
	}{model, parent}
	var p struct {
		Program string `json:"program"`
	}
	err := c.Post("/v1/programs", req, &p)
	return p.Program, err
}

// WaitForRetry sleeps for the time that the error asks for and reports whether the request may be sent again: it did
// not run, and the server names a time for the retry.
func (e *APIError) WaitForRetry() bool {
	if e.Outcome != "not_run" || e.RetryAfterMS == 0 {
		return false
	}
	time.Sleep(time.Duration(e.RetryAfterMS) * time.Millisecond)
	return true
}
