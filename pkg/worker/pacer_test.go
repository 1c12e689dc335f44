package worker

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

func TestPacer(t *testing.T) {
	data, err := os.ReadFile("testdata/pacer.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name string `json:"name"`
		// Readings are triples: time in milliseconds, pressure, wanted percentage.
		Readings [][3]float64 `json:"readings"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var p Pacer
			start := time.Unix(1000, 0)
			for _, r := range c.Readings {
				got := p.Decide(start.Add(time.Duration(r[0])*time.Millisecond), r[1])
				if want := int(r[2]); got != want {
					t.Errorf("at %v ms, pressure %v: got %d, want %d", r[0], r[1], got, want)
				}
			}
		})
	}
}
