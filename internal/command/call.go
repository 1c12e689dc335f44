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

// ErrRefused means that the entry answered with an HTTP status of 300 or more.
var ErrRefused = errors.New("the entry refused the call")

// callAndPrint sends a request to the entry at --entry-url and prints the body of a
// successful response.
func callAndPrint(ctx context.Context, cmd *cli.Command, method, path string, body io.Reader, header http.Header) error {
	return callEntry(ctx, cmd, method, path, body, header, func(responseBody io.Reader) error {
		_, err := io.Copy(cmd.Root().Writer, responseBody)
		return err
	})
}

// callEntry sends a request to the entry at --entry-url and passes the body of a successful
// response to handleBody.
func callEntry(ctx context.Context, cmd *cli.Command, method, path string, body io.Reader, header http.Header, handleBody func(io.Reader) error) error {
	c := &flagReader{cmd: cmd}
	baseURL := c.url("entry-url")
	if c.err != nil {
		return c.err
	}
	req, err := http.NewRequestWithContext(ctx, method, baseURL+path, body)
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
	return handleBody(resp.Body)
}

// teamFlags returns the flags of commands that call an entry on behalf of a team.
func teamFlags() []cli.Flag {
	return []cli.Flag{
		entryFlag(),
		stringFlag("token", "", "the team's bearer token"),
		stringFlag("team", "", "the team's name, for an entry that does not require a token"),
	}
}

// teamHeader returns the headers that identify the team of --token or --team.
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
