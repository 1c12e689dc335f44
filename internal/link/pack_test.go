package link

import (
	"bytes"
	"strconv"
	"testing"
)

// TestPackRefersToBase checks that data that differs little from its dictionary is
// packed into few bytes.
func TestPackRefersToBase(t *testing.T) {
	var base []byte
	for i := range 200 {
		base = append(base, "- {name: team-"+strconv.Itoa(i)+", quota: {milli-cpu: "+strconv.Itoa(i*977)+"}}\n"...)
	}
	changed := bytes.Replace(base, []byte("team-77,"), []byte("team-x,"), 1)
	packed, err := Pack(changed, base)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(packed), 200; got > want {
		t.Errorf("packed size: got %d bytes, want at most %d", got, want)
	}
	got, err := Unpack(packed, base)
	if err != nil || !bytes.Equal(got, changed) {
		t.Errorf("unpack: got %d bytes, error %v, want the %d bytes packed", len(got), err, len(changed))
	}
	if _, err := Unpack(packed, []byte("another base")); err == nil {
		if got, _ := Unpack(packed, []byte("another base")); bytes.Equal(got, changed) {
			t.Error("unpack with another base: got the same bytes")
		}
	}
	alone, err := Pack(changed, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Unpack(alone, nil); err != nil || !bytes.Equal(got, changed) {
		t.Errorf("unpack without a base: error %v", err)
	}
}
