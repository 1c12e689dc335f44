package bundle

import "testing"

// FuzzParse checks that arbitrary text is either refused or parsed to a document
// that can be formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("version: 1\n"))
	f.Add([]byte("version: 1\noperators: {threshold: 1, keys: [{name: a, public-key: AAAA}]}\nteams: [{name: t, quota: {milli-cpu: -1}}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err != nil {
			return
		}
		text, err := Format(d)
		if err != nil {
			t.Fatalf("format: %v", err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("parse what was formatted: got %v, want no error", err)
		}
	})
}

// FuzzDecodeSigned checks that arbitrary bytes are either refused or can be encoded
// again, and that no bundle without a valid signature comes in force.
func FuzzDecodeSigned(f *testing.F) {
	f.Add([]byte{0xa2, 0x01, 0x41, 0x61, 0x02, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodeProof(data, [][]byte{data}, 0)
		if err != nil {
			return
		}
		if _, _, err := p.Encode(); err != nil {
			t.Fatalf("encode: %v", err)
		}
		c := NewChain(testOperators(1, "alice"))
		if err := c.Adopt(p); err == nil {
			t.Error("a bundle without a valid signature was adopted")
		}
	})
}
