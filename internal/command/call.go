package command

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/entry"
)

// ErrRefused means that the entry answered with a status other than success.
var ErrRefused = errors.New("the entry refused the call")

// callAndPrint sends a request to the entry and prints the body of its response.
func callAndPrint(ctx context.Context, cmd *cli.Command, method, path string, body io.Reader, header http.Header) error {
	return callEntry(ctx, cmd, method, path, body, header, func(responseBody io.Reader) error {
		_, err := io.Copy(cmd.Root().Writer, responseBody)
		return err
	})
}

// callEntry sends a request to the entry at --entry-url and passes the body of a successful response to fn.
func callEntry(ctx context.Context, cmd *cli.Command, method, path string, body io.Reader, header http.Header, fn func(io.Reader) error) error {
	c := &flagReader{cmd: cmd}
	base := c.url("entry-url")
	if c.err != nil {
		return c.err
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, body)
	if err != nil {
		return err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		detail, _ := io.ReadAll(resp.Body)
		return errors.Wrapf(ErrRefused, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(detail)))
	}
	return fn(resp.Body)
}

func teamFlags() []cli.Flag {
	return []cli.Flag{
		entryFlag(),
		stringFlag("token", "", "the team's bearer token"),
		stringFlag("team", "", "the team's name, for an entry that does not require a token"),
	}
}

func teamHeader(cmd *cli.Command) http.Header {
	h := make(http.Header)
	if t := cmd.String("token"); t != "" {
		h.Set("Authorization", "Bearer "+t)
	}
	if t := cmd.String("team"); t != "" {
		h.Set(entry.HeaderTeam, t)
	}
	return h
}
