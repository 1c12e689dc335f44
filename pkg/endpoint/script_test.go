package endpoint

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// eachScript runs a test for every script in a folder of testdata.
func eachScript[S any](t *testing.T, folder string, run func(t *testing.T, s *S)) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("testdata", folder, "*.json"))
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts in %s: got %d, %v, want some", folder, len(names), err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".json"), func(t *testing.T) {
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			s := new(S)
			if err := json.Unmarshal(data, s); err != nil {
				t.Fatal(err)
			}
			run(t, s)
		})
	}
}

// jsonDuration is a time.Duration that is written like "3m" in a script.
type jsonDuration time.Duration

func (s *jsonDuration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = jsonDuration(d)
	return err
}
