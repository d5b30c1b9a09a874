// Package pack compresses the documents that boxes send each other, as the difference to an earlier version if the
// receiver has one.
package pack

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/config"
)

// dictionaryID is the ID of the zstd dictionary, for which the earlier version is used.
const dictionaryID = 1

// Pack compresses a document. base, if not nil, is an earlier version that the receiver has; then the result contains
// only the difference to it. The result is deterministic.
func Pack(raw, base []byte) []byte {
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(2 * config.MaxBytes), zstd.WithEncoderLevel(zstd.SpeedBetterCompression)}
	if base != nil {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil
	}
	defer enc.Close()
	return enc.EncodeAll(raw, nil)
}

// Unpack reverses Pack with bounded memory. base is nil if the document was packed without one. With a base other than
// the one given to Pack, it returns the correct document or an error, because the packed form contains a checksum.
func Unpack(packed, base []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(8 * config.MaxBytes)}
	if base != nil {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	defer dec.Close()
	raw, err := dec.DecodeAll(packed, nil)
	return raw, eris.Wrap(err, "unpack")
}
