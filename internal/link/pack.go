package link

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// maxUnpacked bounds a packed bundle after it is unpacked, in bytes.
const maxUnpacked = 8 << 20

// dictionaryID names the dictionary in a packed bundle.
const dictionaryID = 1

// Pack compresses data with base as dictionary; base may be empty.
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

// Unpack reverses Pack.
func Unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked),
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
