package box

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/port"
)

// dictionary is the id under which the earlier version serves as zstd's dictionary.
const dictionary = 1

// pack compresses a document; base, if given, is an earlier version that the other side has, so that
// only the difference travels.
func pack(raw, base []byte) []byte {
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

// unpack undoes pack within bounded memory.
func unpack(p *port.Pulled, base []byte) ([]byte, error) {
	if p.Base != "" && base == nil {
		return nil, eris.New("the version it differs from is not here")
	}
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(8 * config.MaxBytes)}
	if p.Base != "" {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionary, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "can't unpack")
	}
	defer dec.Close()
	raw, err := dec.DecodeAll(p.Packed, nil)
	return raw, eris.Wrap(err, "can't unpack")
}
