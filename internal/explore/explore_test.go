package explore

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestRunReportsEveryViolation(t *testing.T) {
	broken := errors.New("broken")
	simulations := []Simulation{
		{Name: "good", Run: func(uint64) error { return nil }},
		{Name: "odd", Run: func(seed uint64) error {
			if seed%2 == 1 {
				return broken
			}
			return nil
		}},
	}
	found, explored := Run(context.Background(), simulations, 4, 10, 3)
	if got, want := explored, uint64(20); got != want {
		t.Errorf("explored: got %d, want %d", got, want)
	}
	if got, want := len(found), 5; got != want {
		t.Fatalf("violations: got %d, want %d", got, want)
	}
	for _, v := range found {
		if v.Simulation != "odd" || v.Seed%2 != 1 || !errors.Is(v.Err, broken) {
			t.Errorf("got %+v, want an odd seed of simulation odd", v)
		}
	}
}
