package crasher

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Content identifies the content of a request, or a prompt part that requests share, independently of the attempt. The
// content is equal for requests of one workspace with the same method, host, target and body. It includes the workspace so
// that no caller can get another's requests refused; all callers of a pipeline that needs no token share one.
type Content [16]byte

// ContentOf returns the identifier of a request's content. The target is the path with its query.
func ContentOf(workspace, method, host, target string, body []byte) Content {
	h := newHash(workspace, method, host, target)
	h.Write(body)
	return Content(h.Sum(nil))
}

// PartOf returns the identifier of a prompt part that requests of one workspace share. It includes the workspace as
// ContentOf does.
func PartOf(workspace, part string) Content {
	return Content(newHash(workspace, part).Sum(nil))
}

// maxParts is the number of prompt parts of a request that may count as crashing servers.
const maxParts = 16

// KeysAt returns what of a request may crash the servers of a pool: its content and the parts of its prompt that it may share
// with other requests, all but the last.
func (c Content) KeysAt(pool, workspace string, parts []string) []Key {
	out := []Key{c.At(pool)}
	for _, p := range parts[:max(0, min(len(parts)-1, maxParts))] {
		out = append(out, PartOf(workspace, p).At(pool))
	}
	return out
}

// newHash returns a hash of some texts, each with its length, so that texts that are split differently don't collide.
func newHash(texts ...string) hash.Hash {
	h := sha256.New()
	for _, text := range texts {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(text)))
		h.Write(size[:])
		_, _ = io.WriteString(h, text)
	}
	return h
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
