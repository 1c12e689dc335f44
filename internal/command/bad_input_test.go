package command

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/problem"
)

func readCases(t *testing.T, path string, out any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err == nil {
		err = yaml.UnmarshalWithOptions(data, out, yaml.Strict())
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestBadArguments runs every command with arguments that are not valid. Each
// must exit with the expected code and name every invalid argument.
func TestBadArguments(t *testing.T) {
	var cases []struct {
		Args []string `yaml:"args"`
		Exit int      `yaml:"exit"`
		Want []string `yaml:"want"`
	}
	readCases(t, "testdata/bad-arguments.yaml", &cases)
	binary := filepath.Join(t.TempDir(), "savoryhoist")
	if out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, c := range cases {
		t.Run(strings.Join(c.Args, " "), func(t *testing.T) {
			cmd := exec.Command(binary, c.Args...)
			var stderr strings.Builder
			cmd.Stderr = &stderr
			_ = cmd.Run()
			if got := cmd.ProcessState.ExitCode(); got != c.Exit {
				t.Errorf("exit code: got %d, want %d", got, c.Exit)
			}
			for _, want := range c.Want {
				if got := stderr.String(); !strings.Contains(got, want) {
					t.Errorf("standard error: got %q, want %q in it", got, want)
				}
			}
		})
	}
}

// badRequest is one case of testdata/bad-requests.yaml.
type badRequest struct {
	Name      string            `yaml:"name"`
	Method    string            `yaml:"method"`
	Path      string            `yaml:"path"`
	Header    map[string]string `yaml:"header"`
	Body      string            `yaml:"body"`
	BodyBytes int               `yaml:"body-bytes"`
	Status    int               `yaml:"status"`
	Field     string            `yaml:"field"`
}

// send sends the request to the entry at baseURL.
func (b *badRequest) send(t *testing.T, baseURL string) *http.Response {
	t.Helper()
	body := b.Body + strings.Repeat(".", b.BodyBytes)
	req, err := http.NewRequest(b.Method, baseURL+b.Path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(entry.HeaderTeam, "nursery")
	for k, v := range b.Header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestBadRequests sends requests that are not valid to every path of the caller
// API. Each must be refused with a problem document that names the field and
// states that nothing was run, and must change nothing.
func TestBadRequests(t *testing.T) {
	var cases []badRequest
	readCases(t, "testdata/bad-requests.yaml", &cases)
	s := newSite(t, 1, 1)
	base := s.entryURLs[0]
	before := s.jobList(base)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			resp := c.send(t, base)
			defer func() { _ = resp.Body.Close() }()
			if got := resp.StatusCode; got != c.Status {
				t.Errorf("status: got %d, want %d", got, c.Status)
			}
			if got, want := resp.Header.Get(problem.HeaderOutcome), string(problem.NotRun); got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
			if got, want := resp.Header.Get("Content-Type"), "application/problem+json"; got != want {
				t.Errorf("content type: got %q, want %q", got, want)
			}
			var p problem.Problem
			if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
				t.Fatal(err)
			}
			if got := p.Field; got != c.Field {
				t.Errorf("field: got %q, want %q (%s)", got, c.Field, p.Detail)
			}
		})
	}
	if got := s.jobList(base); got != before {
		t.Errorf("jobs: got %s, want %s", got, before)
	}
	if got, want := len(s.runners[0].RunCounts()), 0; got != want {
		t.Errorf("requests run: got %d, want %d", got, want)
	}
}

// jobList returns the team's jobs in JSON, as the entry at baseURL lists them.
func (s *site) jobList(baseURL string) string {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodGet, baseURL+"/jobs", http.NoBody)
	s.must(err)
	req.Header.Set(entry.HeaderTeam, "nursery")
	resp, err := http.DefaultClient.Do(req)
	s.must(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	s.must(err)
	return string(data)
}

// TestOpenAPIPathsAreServed calls every path with every method that
// docs/openapi.yaml describes: an entry must serve each of them.
func TestOpenAPIPathsAreServed(t *testing.T) {
	var document struct {
		Paths map[string]map[string]any `yaml:"paths"`
	}
	data, err := os.ReadFile("../../docs/openapi.yaml")
	if err == nil {
		err = yaml.Unmarshal(data, &document)
	}
	if err != nil {
		t.Fatal(err)
	}
	s := newSite(t, 1, 1)
	values := strings.NewReplacer("{service}", "planner", "{path}", "preview", "{id}", "none")
	for path, methods := range document.Paths {
		for method := range methods {
			if method == "parameters" {
				continue
			}
			b := badRequest{Method: strings.ToUpper(method), Path: values.Replace(path)}
			resp := b.send(t, s.entryURLs[0])
			var p problem.Problem
			_ = json.NewDecoder(resp.Body).Decode(&p)
			_ = resp.Body.Close()
			if p.Field == "path" {
				t.Errorf("%s %s: got %q, want the path to be served", method, path, p.Detail)
			}
		}
	}
}
