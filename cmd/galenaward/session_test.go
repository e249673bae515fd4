package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"galenaward.example/galenaward/internal/cmdl/fakes"
	"galenaward.example/galenaward/internal/cmdl/parse"
)

const portsPerSession = 24

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"galenaward": func() { os.Exit(run()) },
		"standin":    func() { os.Exit(parse.Run(context.Background(), fakes.Root(), os.Args[1:])) },
	})
}

// TestSessions runs the scripts in testdata, which start galenaward as separate processes and compare the transcript
// of its commands with a golden file.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", RequireExplicitExec: true, Setup: setup,
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"render": render, "put": putFile, "await": awaitBody, "run": runAndRecord, "capture": capture, "note": note,
		},
	})
}

// Ports lie below the operating system's ephemeral range, so that no outgoing connection takes a reserved port.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// setup finds free ports on loopback and sets P0 to P23 to them.
func setup(e *testscript.Env) error {
	for i := 0; i < portsPerSession; {
		p := firstPort + (int64(os.Getpid())*portsPerSession+nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return err
		}
		e.Setenv(fmt.Sprintf("P%d", i), strconv.FormatInt(p, 10))
		i++
	}
	return nil
}

// render expands environment variables in files: render FILE...
func render(ts *testscript.TestScript, _ bool, files []string) {
	for _, f := range files {
		s := os.Expand(ts.ReadFile(f), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(f), []byte(s), 0o600))
	}
}

// putFile sends a file with PUT until the server accepts it: put URL FILE.
func putFile(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodPut, args[0], strings.NewReader(ts.ReadFile(args[1])))
	ts.Check(err)
	retryUntil(ts, "put "+args[0], func() bool {
		resp, err := http.DefaultClient.Do(req.Clone(context.Background()))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// awaitBody polls a URL until it responds with a body that matches: await URL REGEXP.
func awaitBody(ts *testscript.TestScript, _ bool, args []string) {
	re := regexp.MustCompile(args[1])
	retryUntil(ts, "await "+args[0]+" "+args[1], func() bool {
		resp, err := http.Get(args[0])
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode == http.StatusOK && re.Match(b)
	})
}

func retryUntil(ts *testscript.TestScript, what string, ok func() bool) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	ts.Fatalf("%s: no success within 20 s", what)
}

var replacements = []struct {
	re          *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`spent [1-9]\d*`), "spent TOKENS"},
	{regexp.MustCompile(`gk_[a-z0-9]+_[a-z0-9]+`), "SECRET"},
	{regexp.MustCompile(`[a-z]+-[a-z]\.[a-z0-9]{8}~[a-z0-9]{12}`), "PROGRAM"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "REQUEST"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+Z`), "TIME"},
	{regexp.MustCompile(`key [a-z0-9]{12}\b`), "key KEY"},
	{regexp.MustCompile(`key "[a-z0-9]{12}"`), `key "KEY"`},
	{regexp.MustCompile(`engine-[ab]`), "ENGINE"},
	{regexp.MustCompile(`withdraw [a-z0-9]{12}`), "withdraw KEY"},
	{regexp.MustCompile(`\(go[\d.]+\)`), "(GO)"},
	{regexp.MustCompile(`(version|change) \d+`), "$1 N"},
	{regexp.MustCompile(`base_version is \d+`), "base_version is N"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
}

// runAndRecord runs galenaward and appends the command, its output and its exit code to the transcript: run ARGS...
// Values that differ between runs are replaced by fixed words.
func runAndRecord(ts *testscript.TestScript, _ bool, args []string) {
	bin, err := exec.LookPath("galenaward")
	ts.Check(err)
	cmd := exec.Command(bin, args...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = append(os.Environ(),
		"GALENAWARD_SERVER="+ts.Getenv("GALENAWARD_SERVER"), "GALENAWARD_KEY="+ts.Getenv("GALENAWARD_KEY"))
	out, err := cmd.CombinedOutput()
	code := 0
	if err != nil {
		code = cmd.ProcessState.ExitCode()
	}
	ts.Check(os.WriteFile(ts.MkAbs("last"), out, 0o600))
	text := fmt.Sprintf("$ galenaward %s\n%s[exit %d]\n", strings.Join(args, " "), out, code)
	appendTranscript(ts, text)
}

// note appends a comment line to the transcript: note TEXT...
func note(ts *testscript.TestScript, _ bool, args []string) {
	appendTranscript(ts, "# "+strings.Join(args, " ")+"\n")
}

func appendTranscript(ts *testscript.TestScript, text string) {
	for _, s := range replacements {
		text = s.re.ReplaceAllString(text, s.replacement)
	}
	f, err := os.OpenFile(filepath.Join(ts.MkAbs("."), "transcript"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer f.Close()
	_, err = f.WriteString(text)
	ts.Check(err)
}

// capture sets a variable to the first group of a match in the last run's output: capture NAME REGEXP.
func capture(ts *testscript.TestScript, _ bool, args []string) {
	b, err := os.ReadFile(ts.MkAbs("last"))
	ts.Check(err)
	m := regexp.MustCompile(args[1]).FindSubmatch(b)
	if m == nil {
		ts.Fatalf("%q is not in the output:\n%s", args[1], bytes.TrimSpace(b))
	}
	ts.Setenv(args[0], string(m[1]))
}
