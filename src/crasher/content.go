package crasher

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Content names what a request asks, whatever the id of the try: requests of one workspace with the same method, host,
// target and body have the same. The workspace is a part of it, so that no caller can have another's requests refused; on a
// pipeline that needs no token all callers are one.
type Content [16]byte

// ContentOf makes the name of a request's content. The target is the path with its query.
func ContentOf(workspace, method, host, target string, body []byte) Content {
	h := sha256.New()
	for _, part := range []string{workspace, method, host, target} {
		var size [4]byte // parts that are split elsewhere differ
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		h.Write(size[:])
		_, _ = io.WriteString(h, part)
	}
	h.Write(body)
	return Content(h.Sum(nil))
}

// String is the beginning of the name, for logs: enough to find the tries of one content.
func (c Content) String() string { return hex.EncodeToString(c[:4]) }

// Key names a content at the pool where it is run: what crashes one pool's servers may be good work for another's.
type Key [16]byte

// At is the key of a content at a pool.
func (c Content) At(pool string) Key {
	sum := sha256.Sum256(append(c[:], pool...))
	return Key(sum[:])
}

// String is the beginning of the key, for logs.
func (k Key) String() string { return hex.EncodeToString(k[:4]) }

// Life names one life of a server: its id and the incarnation, so that one end that several boxes saw counts once.
type Life uint64

// LifeOf names the life of a server by its id and its incarnation.
func LifeOf(server string, incarnation int64) Life {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(server), uint64(incarnation)))
	return Life(binary.BigEndian.Uint64(sum[:]))
}
