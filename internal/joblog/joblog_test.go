package joblog

import (
	"os"
	"strings"
	"testing"
)

func TestLinesOfOneJobInCausalOrder(t *testing.T) {
	f, err := os.Open("testdata/lines.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "5c")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range SortByCause(lines) {
		got = append(got, l.Process()+": "+l.message)
	}
	want := []string{
		"front-a: job handed in", "front-b: advice received", "front-b: start ordered", "w1: order refused", "front-b: start ordered",
		"w2: filling task paced", "front-b: run ended", "front-b: job ended",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
