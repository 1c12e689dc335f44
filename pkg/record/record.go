// Package record defines the records that are kept in the platform's log, how they
// are encoded in batches, and the interface to the log service.
package record

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the batch format that this program writes.
const Version = 1

// indexBits is the number of bits in a Position for the record's index.
const indexBits = 16

// MaxBatchRecords is the greatest number of records in one batch.
const MaxBatchRecords = 1 << indexBits

// Errors returned by Decode.
var (
	// ErrCorrupt means that a batch or record could not be decoded.
	ErrCorrupt = errors.New("the record is corrupt")
	// ErrUnsupported means that a batch has no version or more than MaxBatchRecords
	// records, so that this program does not support it.
	ErrUnsupported = errors.New("the batch has no version or too many records")
)

// Position is the place of a record in its stream: the log offset of its batch and
// its index within the batch. Positions are ordered as the records are; the zero
// position is before every record.
type Position uint64

// NewPosition returns the position of the record at index in the batch at offset.
func NewPosition(offset uint64, index int) Position {
	return Position((offset+1)<<indexBits | uint64(index))
}

// Offset returns the log offset of the record's batch.
func (p Position) Offset() uint64 { return uint64(p)>>indexBits - 1 }

// Message is the content of a record.
type Message interface {
	// Kind returns the kind of the record.
	Kind() Kind
}

// Record is a decoded record with its position in the stream.
type Record struct {
	position Position
	writer   string
	seq      uint64
	message  Message
}

// New returns a record at a position of the stream. The sequence number seq counts
// the records of the writer.
func New(position Position, writer string, seq uint64, message Message) Record {
	return Record{position: position, writer: writer, seq: seq, message: message}
}

// Position returns the record's position in its stream.
func (r Record) Position() Position { return r.position }

// Writer returns the identity of the process that appended the record.
func (r Record) Writer() string { return r.writer }

// Seq returns the record's sequence number among those of its writer.
func (r Record) Seq() uint64 { return r.seq }

// Message returns the record's content.
func (r Record) Message() Message { return r.message }

type wireBatch struct {
	Version  uint8        `cbor:"1,keyasint"`
	Writer   string       `cbor:"2,keyasint"`
	FirstSeq uint64       `cbor:"3,keyasint"`
	Records  []wireRecord `cbor:"4,keyasint"`
}

type wireRecord struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// EncodedRecord is one encoded record.
type EncodedRecord struct{ wire wireRecord }

// Size returns the size of the encoded message in bytes.
func (e EncodedRecord) Size() int { return len(e.wire.Body) }

// EncodeMessage encodes one record.
func EncodeMessage(m Message) (EncodedRecord, error) {
	body, err := cbor.Marshal(m)
	return EncodedRecord{wire: wireRecord{Kind: m.Kind(), Body: body}}, errors.Wrap(err, "encode record")
}

// Encode encodes messages as one batch. The first message has the sequence number
// firstSeq, and each following one the next number.
func Encode(writer string, firstSeq uint64, messages []Message) ([]byte, error) {
	records := make([]EncodedRecord, len(messages))
	for i, m := range messages {
		var err error
		if records[i], err = EncodeMessage(m); err != nil {
			return nil, errors.Wrapf(err, "record %d", i)
		}
	}
	return EncodeBatch(writer, firstSeq, records)
}

// EncodeBatch encodes one batch of records that are already encoded.
func EncodeBatch(writer string, firstSeq uint64, records []EncodedRecord) ([]byte, error) {
	if len(records) > MaxBatchRecords {
		return nil, errors.Newf("a batch must have at most %d records, got %d", MaxBatchRecords, len(records))
	}
	b := wireBatch{Version: Version, Writer: writer, FirstSeq: firstSeq, Records: make([]wireRecord, len(records))}
	for i, r := range records {
		b.Records[i] = r.wire
	}
	data, err := cbor.Marshal(b)
	return data, errors.Wrap(err, "encode batch")
}

// Decode decodes the batch at an offset. It skips records that are of an unknown
// kind or corrupt, and returns the other records and the number of those skipped.
// An error means that the whole batch is unreadable.
func Decode(offset uint64, data []byte) (records []Record, skipped int, err error) {
	var b wireBatch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, "decode batch"), ErrCorrupt)
	}
	if b.Version == 0 || len(b.Records) > MaxBatchRecords {
		return nil, 0, ErrUnsupported
	}
	records = make([]Record, 0, len(b.Records))
	for i, w := range b.Records {
		m := newMessage(w.Kind)
		if m == nil || cbor.Unmarshal(w.Body, m) != nil {
			skipped++
			continue
		}
		records = append(records, New(NewPosition(offset, i), b.Writer, b.FirstSeq+uint64(i), m))
	}
	return records, skipped, nil
}

// BatchHeader returns the writer and the first sequence number of an encoded batch.
// Together they identify the batch.
func BatchHeader(data []byte) (writer string, firstSeq uint64, err error) {
	var b struct {
		Writer   string `cbor:"2,keyasint"`
		FirstSeq uint64 `cbor:"3,keyasint"`
	}
	if err := cbor.Unmarshal(data, &b); err != nil {
		return "", 0, errors.Mark(err, ErrCorrupt)
	}
	return b.Writer, b.FirstSeq, nil
}
