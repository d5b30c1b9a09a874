package crasher

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Content identifies the content of a request independently of the attempt: it is equal for requests of one workspace with
// the same method, host, target and body. It includes the workspace so that no caller can get another's requests refused;
// all callers of a pipeline that needs no token share one.
type Content [16]byte

// ContentOf returns the identifier of a request's content. The target is the path with its query.
func ContentOf(workspace, method, host, target string, body []byte) Content {
	h := sha256.New()
	for _, part := range []string{workspace, method, host, target} {
		var size [4]byte // length prefix: parts that are split differently must not collide
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		h.Write(size[:])
		_, _ = io.WriteString(h, part)
	}
	h.Write(body)
	return Content(h.Sum(nil))
}

// String returns a prefix for logs, long enough to find the attempts of one content.
func (c Content) String() string { return hex.EncodeToString(c[:4]) }

// Key identifies a content at a pool. Content that crashes the servers of one pool may be fine for another.
type Key [16]byte

// At returns the key of a content at a pool.
func (c Content) At(pool string) Key {
	sum := sha256.Sum256(append(c[:], pool...))
	return Key(sum[:])
}

// String returns a prefix of the key, for logs.
func (k Key) String() string { return hex.EncodeToString(k[:4]) }

// Incarnation identifies one incarnation of a server, so that a crash that several boxes observe counts once.
type Incarnation uint64

// NewIncarnation returns the identifier of a server's incarnation.
func NewIncarnation(server string, incarnation int64) Incarnation {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(server), uint64(incarnation)))
	return Incarnation(binary.BigEndian.Uint64(sum[:]))
}
