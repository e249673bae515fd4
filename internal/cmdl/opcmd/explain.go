package opcmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/reqlog"
)

// Explain returns the command that prints the log events of a request, merged from the logs of several processes.
func Explain() *parse.Command {
	request := ""
	var files []string
	return &parse.Command{
		Name: "explain", Help: "print what happened to a request, from the logs of several processes",
		Arguments: []parse.Argument{{Name: "REQUEST-ID", Help: "id of the caller's attempt", Value: &request}},
		Rest:      &parse.Rest{Name: "FILE", Help: "log file; may be given several times", Values: &files},
		Run: func(_ context.Context, out io.Writer) error {
			if len(files) == 0 {
				return errors.Mark(errors.New("FILE is missing"), parse.ErrUsage)
			}
			var lines []reqlog.Line
			for _, name := range files {
				fileLines, malformed, err := readLog(name)
				if err != nil {
					return errors.Wrapf(err, "read %s", name)
				}
				if malformed > 0 {
					fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log events\n", name, malformed)
				}
				lines = append(lines, fileLines...)
			}
			entries, err := reqlog.Explain(request, lines)
			if err != nil {
				return err
			}
			return reqlog.Write(out, entries)
		},
	}
}

func readLog(name string) ([]reqlog.Line, int, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	return reqlog.ParseLog(f)
}
