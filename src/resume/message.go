// Package resume decides where a stream that was broken off may go on.
//
// A stream may go on only at servers of the build that began it, and servers don't check that. Each box therefore reports the
// origin of a stream, as its first event is passed on, to two other boxes in different failure domains, chosen by rendezvous
// hashing. The box at which a caller takes the stream up asks them. Where nobody knows the origin, a stream may go on only if
// its pool has had a single build for longer than the stream can have run.
//
// Tracker is one box's part of it.
package resume

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"time"

	"github.com/stilemast/stilemast/src/catalog"
)

// Stream names a stream by the caller's attempt that brought its first event or, for callers that don't state it, by the
// content of the request. It includes the workspace, so that no caller can take up another's stream.
type Stream [16]byte

// StreamOf returns the name of a stream by the attempt that began it.
func StreamOf(workspace, attempt string) Stream {
	h := sha256.New()
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(workspace)))
	h.Write(size[:])
	_, _ = io.WriteString(h, workspace+attempt)
	s := Stream(h.Sum(nil))
	s[0] &^= sharedBit
	return s
}

// StreamOfContent returns the name of a stream by the digest of its request, which other streams may share.
func StreamOfContent(digest [16]byte) Stream {
	s := Stream(digest)
	s[0] |= sharedBit
	return s
}

// Names returns the names of the stream of an attempt: the attempt that brought its first event, which the caller states if
// it takes the stream up, and the digest of the request. The first is left out if the caller takes a stream up without stating it.
func Names(workspace, attempt, resumes string, takenUp bool, digest [16]byte) []Stream {
	if takenUp {
		attempt = resumes
	}
	if attempt == "" {
		return []Stream{StreamOfContent(digest)}
	}
	return []Stream{StreamOf(workspace, attempt), StreamOfContent(digest)}
}

// sharedBit tells names by content from names by attempt.
const sharedBit = 0x80

// shared reports whether other streams may have the name too.
func (s Stream) shared() bool { return s[0]&sharedBit != 0 }

// String returns a prefix for logs.
func (s Stream) String() string { return hex.EncodeToString(s[:4]) }

// Origin is where a stream began.
type Origin struct {
	Pool  uint64 `msgpack:"p"` // hash of its name
	Build string `msgpack:"b"` // version of the server's software
}

// ambiguous is the origin of streams that share a name and began at different ones.
var ambiguous = Origin{}

// merge returns the origin under a name that another stream has too.
func (o Origin) merge(other Origin) Origin {
	if o != other {
		return ambiguous
	}
	return o
}

// OriginAt returns the origin of a stream that began at a server of a pool.
func OriginAt(pool, build string) Origin { return Origin{Pool: catalog.Hash(pool), Build: build} }

// Began reports the origin of a stream.
type Began struct {
	Stream Stream        `msgpack:"s"`
	Origin Origin        `msgpack:"o"`
	Left   time.Duration `msgpack:"l"` // for which the caller may still take it up
}

// valid reports whether a report makes sense; messages may be malformed or forged.
func (b Began) valid() bool {
	return b.Left > 0 && b.Left <= maxLeft && len(b.Origin.Build) <= maxBuildBytes
}

// Question is a report of origins, or asks for one.
type Question struct {
	Began  []Began `msgpack:"b,omitempty"`
	Stream *Stream `msgpack:"s,omitempty"`
}

// Answer is the answer to a Question: whether the report was recorded, or the origin, nil if unknown.
type Answer struct {
	Recorded bool    `msgpack:"r,omitempty"`
	Origin   *Origin `msgpack:"o,omitempty"`
}
