package link

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// maxUnpackedBytes limits the size of a bundle after unpacking.
const maxUnpackedBytes = 8 << 20

// dictionaryID is the identifier of the dictionary in the zstd frame.
const dictionaryID = 1

// Pack compresses data with zstd and base as dictionary. If base is empty, it uses
// no dictionary.
func Pack(data, base []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(data, nil), nil
}

// Unpack decompresses data that Pack returned for the same base.
func Unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	out, err := d.DecodeAll(packed, nil)
	return out, errors.Wrap(err, "unpack")
}
