package bundle

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestPublishedSchema checks that the schema in docs is the one that the program
// prints.
func TestPublishedSchema(t *testing.T) {
	got, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("../../docs/bundle.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(bytes.TrimSpace(got), bytes.TrimSpace(want)) {
		t.Errorf("docs/bundle.schema.json differs from savoryhoist bundle schema:\n%s", got)
	}
}

// TestErrorsNameFieldAndLine checks that errors name each wrong field and its line.
func TestErrorsNameFieldAndLine(t *testing.T) {
	text := `version: 1
operators: {threshold: 2, keys: []}
services:
  - name: planner
    slots: 0
    connections: 64
    body-limit: 10
    objective: 1s
    classes:
      - {name: Preview, priority: 12, deadline: 1s, expected: 1ms}
batch-classes: []
teams: []
`
	_, err := Parse([]byte(text))
	if !errors.Is(err, ErrInvalid) {
		t.Fatalf("parse: got %v, want %v", err, ErrInvalid)
	}
	for _, want := range []string{
		"line 2: operators.threshold: must be",
		"line 5: services[0].slots: must be at least 1",
		"line 10: services[0].classes[0].name: must be",
		"line 10: services[0].classes[0].priority: must be from 0 to 9",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("message: got %q, want it to contain %q", err, want)
		}
	}
}
