package record

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// FuzzDecode checks that arbitrary bytes are either refused or decoded to records
// with messages.
func FuzzDecode(f *testing.F) {
	good, err := Encode("writer", 1, []Message{&Submit{Spec: Spec{ID: "a", Tasks: 1}}, &Bundle{Signed: []byte("b")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, _, err := Decode(3, data)
		if err != nil {
			return
		}
		for _, r := range records {
			if r.Message() == nil || r.Position().Offset() != 3 {
				t.Errorf("record: got %v at offset %d", r.Message(), r.Position().Offset())
			}
		}
	})
}

// laterMember is a Member of a later program version that has one more field.
type laterMember struct {
	Member
	Weight int `cbor:"90,keyasint"`
}

// TestCodecAcrossVersions checks that two program versions read each other's
// records, and that records of unknown kinds and corrupt records are skipped.
func TestCodecAcrossVersions(t *testing.T) {
	body, err := cbor.Marshal(laterMember{Member: Member{Name: "entry-1", Incarnation: 4}, Weight: 3})
	if err != nil {
		t.Fatal(err)
	}
	batch := wireBatch{Version: Version + 1, Writer: "writer", FirstSeq: 7, Records: []wireRecord{
		{Kind: KindMember, Body: body},
		{Kind: 200, Body: body},
		{Kind: KindForget, Body: cbor.RawMessage{0x60}},
		{Kind: KindMember, Body: body},
	}}
	data, err := cbor.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	records, skipped, err := Decode(5, data)
	if err != nil || skipped != 2 || len(records) != 2 {
		t.Fatalf("decode: got %d records, %d skipped, error %v, want 2, 2 and no error", len(records), skipped, err)
	}
	if got, want := records[1].Seq(), uint64(10); got != want {
		t.Errorf("sequence number after skipped records: got %d, want %d", got, want)
	}
	if m, ok := records[0].Message().(*Member); !ok || m.Name != "entry-1" {
		t.Errorf("record with an unknown field: got %v, want the member", records[0].Message())
	}
	var later laterMember
	old, err := cbor.Marshal(Member{Name: "entry-2"})
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(old, &later); err != nil || later.Name != "entry-2" || later.Weight != 0 {
		t.Errorf("old record read by a later program: got %+v, error %v", later, err)
	}
}

// TestDecodeRefusesUnsupported checks that data that is not a batch, and a batch
// without a version, are refused.
func TestDecodeRefusesUnsupported(t *testing.T) {
	if _, _, err := Decode(0, []byte("not a batch")); !errors.Is(err, ErrCorrupt) {
		t.Errorf("text: got %v, want %v", err, ErrCorrupt)
	}
	if _, _, err := Decode(0, []byte{0xa0}); !errors.Is(err, ErrUnsupported) {
		t.Errorf("no version: got %v, want %v", err, ErrUnsupported)
	}
}
