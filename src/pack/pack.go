// Package pack compresses the documents that boxes hand one another, as the difference to an earlier
// version where the other side has that.
package pack

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/config"
)

// dictionary is the id under which the earlier version serves as zstd's dictionary.
const dictionary = 1

// Pack compresses a document; base, if given, is an earlier version that the other side has, so that
// only the difference travels. The same arguments give the same bytes.
func Pack(raw, base []byte) []byte {
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(2 * config.MaxBytes), zstd.WithEncoderLevel(zstd.SpeedBetterCompression)}
	if base != nil {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionary, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil
	}
	defer enc.Close()
	return enc.EncodeAll(raw, nil)
}

// Unpack undoes Pack within bounded memory; base is nil when the whole document was packed. With a base
// other than the one that Pack was given it gives the right document or an error: the packed one carries a checksum.
func Unpack(packed, base []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(8 * config.MaxBytes)}
	if base != nil {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionary, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "can't unpack")
	}
	defer dec.Close()
	raw, err := dec.DecodeAll(packed, nil)
	return raw, eris.Wrap(err, "can't unpack")
}
