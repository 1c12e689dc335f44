// Package record defines the records kept in the platform's log, their codec
// and the log port.
package record

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Version is the batch format that this program writes.
const Version = 1

// indexBits is the width of a record's index within a Position.
const indexBits = 16

// MaxBatch is the largest number of records in one batch.
const MaxBatch = 1 << indexBits

// Errors returned by Decode.
var (
	// ErrCorrupt means that a batch or record could not be decoded.
	ErrCorrupt = errors.New("the record is corrupt")
	// ErrForeign means that a batch or record is of a version or kind that this program does not know.
	ErrForeign = errors.New("the record is of an unknown version or kind")
)

// Position orders records within a stream: the batch's log offset and the
// record's index within the batch. The zero position is before every record.
type Position uint64

// At returns the position of the record at index in the batch at offset.
func At(offset uint64, index int) Position {
	return Position((offset+1)<<indexBits | uint64(index))
}

// Offset returns the log offset of the batch.
func (p Position) Offset() uint64 { return uint64(p)>>indexBits - 1 }

// Message is the body of a record.
type Message interface {
	// Kind returns the record kind of the body.
	Kind() Kind
}

// Record is a decoded record with its place in the stream.
type Record struct {
	position Position
	writer   string
	seq      uint64
	message  Message
}

// New returns a record as a reader of the stream sees it.
func New(position Position, writer string, seq uint64, message Message) Record {
	return Record{position: position, writer: writer, seq: seq, message: message}
}

// Position returns the record's place in its stream.
func (r Record) Position() Position { return r.position }

// Writer returns the identity of the process that appended the record.
func (r Record) Writer() string { return r.writer }

// Seq returns the record's sequence number among those of its writer.
func (r Record) Seq() uint64 { return r.seq }

// Message returns the record's body.
func (r Record) Message() Message { return r.message }

type wireBatch struct {
	Version uint8        `cbor:"1,keyasint"`
	Writer  string       `cbor:"2,keyasint"`
	First   uint64       `cbor:"3,keyasint"`
	Records []wireRecord `cbor:"4,keyasint"`
}

type wireRecord struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// Encoded is the wire form of one record.
type Encoded struct{ wire wireRecord }

// Size returns the number of bytes of the record's body.
func (e Encoded) Size() int { return len(e.wire.Body) }

// EncodeMessage returns the wire form of one record.
func EncodeMessage(m Message) (Encoded, error) {
	body, err := cbor.Marshal(m)
	return Encoded{wire: wireRecord{Kind: m.Kind(), Body: body}}, errors.Wrap(err, "encode record")
}

// Encode returns the bytes of one batch. The first message has sequence number
// first; the following ones count up from it.
func Encode(writer string, first uint64, messages []Message) ([]byte, error) {
	records := make([]Encoded, len(messages))
	for i, m := range messages {
		var err error
		if records[i], err = EncodeMessage(m); err != nil {
			return nil, errors.Wrapf(err, "record %d", i)
		}
	}
	return EncodeBatch(writer, first, records)
}

// EncodeBatch returns the bytes of one batch of records that are encoded already.
func EncodeBatch(writer string, first uint64, records []Encoded) ([]byte, error) {
	if len(records) > MaxBatch {
		return nil, errors.Newf("a batch holds at most %d records, got %d", MaxBatch, len(records))
	}
	b := wireBatch{Version: Version, Writer: writer, First: first, Records: make([]wireRecord, len(records))}
	for i, r := range records {
		b.Records[i] = r.wire
	}
	data, err := cbor.Marshal(b)
	return data, errors.Wrap(err, "encode batch")
}

// Decode returns the records of the batch at offset and the number of records
// skipped because they are of an unknown kind or corrupt. An error means that
// the whole batch is unreadable.
func Decode(offset uint64, data []byte) (records []Record, skipped int, err error) {
	var b wireBatch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, "decode batch"), ErrCorrupt)
	}
	if b.Version == 0 || len(b.Records) > MaxBatch {
		return nil, 0, ErrForeign
	}
	records = make([]Record, 0, len(b.Records))
	for i, w := range b.Records {
		m := newMessage(w.Kind)
		if m == nil || cbor.Unmarshal(w.Body, m) != nil {
			skipped++
			continue
		}
		records = append(records, New(At(offset, i), b.Writer, b.First+uint64(i), m))
	}
	return records, skipped, nil
}

// Identity returns the writer and first sequence number of an encoded batch.
func Identity(data []byte) (writer string, first uint64, err error) {
	var b struct {
		Writer string `cbor:"2,keyasint"`
		First  uint64 `cbor:"3,keyasint"`
	}
	if err := cbor.Unmarshal(data, &b); err != nil {
		return "", 0, errors.Mark(err, ErrCorrupt)
	}
	return b.Writer, b.First, nil
}
