package core

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/stilemast/stilemast/src/code"
)

// BoxID identifies one incarnation of one box: its name and a number that rises with each start.
type BoxID struct {
	Name        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// String formats the ID as name@incarnation.
func (b BoxID) String() string { return b.Name + "@" + strconv.FormatUint(b.Incarnation, 10) }

// Key identifies a request. It is a UUID version 7 chosen by the caller, or a ticket: a UUID version 7
// bound to the box incarnation that issued it.
type Key struct {
	ID     uuid.UUID
	Issuer BoxID // zero for a key chosen by the caller
}

// IsZero reports whether the key is unset.
func (k Key) IsZero() bool { return k.ID == uuid.Nil }

// IsTicket reports whether the key is bound to a box incarnation.
func (k Key) IsTicket() bool { return k.Issuer.Name != "" }

// CreatedAt returns the creation time in the UUID, which is the same in every copy of the request.
func (k Key) CreatedAt() time.Time {
	var b [8]byte
	copy(b[2:], k.ID[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// NewKeyID makes a UUID version 7 with the given time. The uuid library's generator has one monotonic clock
// per process, which does not work for tests with several virtual clocks.
func NewKeyID(now time.Time, random [16]byte) uuid.UUID {
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(now.UnixMilli()))
	id := uuid.UUID(random)
	copy(id[:6], ms[2:])
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}

// Hash returns the hash by which keys are distributed over shards and boxes.
func (k Key) Hash() uint64 { return xxhash.Sum64(k.ID[:]) }

const ticketMark = "t1."

// String formats the key as callers pass it. A ticket is t1.<uuid>.<incarnation in hex>.<box>.
func (k Key) String() string {
	if !k.IsTicket() {
		return k.ID.String()
	}
	return ticketMark + k.ID.String() + "." + strconv.FormatUint(k.Issuer.Incarnation, 16) + "." + k.Issuer.Name
}

// ParseKey parses a key as callers pass it, or returns BadKey.
func ParseKey(s string) (Key, *code.Error) {
	if strings.HasPrefix(s, ticketMark) {
		return parseTicket(s)
	}
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != 7 {
		return Key{}, code.New(code.BadKey, "key", "neither a UUID version 7 nor a ticket")
	}
	return Key{ID: id}, nil
}

func parseTicket(s string) (Key, *code.Error) {
	bad := code.New(code.BadKey, "key", "not a ticket of this system")
	parts := strings.SplitN(strings.TrimPrefix(s, ticketMark), ".", 3)
	if len(parts) != 3 || parts[2] == "" {
		return Key{}, bad
	}
	id, err := uuid.Parse(parts[0])
	if err != nil || id.Version() != 7 {
		return Key{}, bad
	}
	inc, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil || inc == 0 {
		return Key{}, bad
	}
	return Key{ID: id, Issuer: BoxID{Name: parts[2], Incarnation: inc}}, nil
}

// AttachToken names a request and the box incarnation that holds it.
type AttachToken struct {
	Key    Key
	Holder BoxID
}

// String formats the token: the hexadecimal form of key, incarnation and box name, joined by vertical bars.
func (t AttachToken) String() string {
	raw := t.Key.String() + "|" + strconv.FormatUint(t.Holder.Incarnation, 16) + "|" + t.Holder.Name
	return hex.EncodeToString([]byte(raw))
}

// ParseAttachToken parses a token, or returns BadAttachToken.
func ParseAttachToken(s string) (AttachToken, *code.Error) {
	bad := code.New(code.BadAttachToken, "attach_token", "not an attach token of this system")
	raw, err := hex.DecodeString(s)
	if err != nil {
		return AttachToken{}, bad
	}
	parts := strings.SplitN(string(raw), "|", 3)
	if len(parts) != 3 || parts[2] == "" {
		return AttachToken{}, bad
	}
	key, kerr := ParseKey(parts[0])
	inc, err := strconv.ParseUint(parts[1], 16, 64)
	if kerr != nil || err != nil {
		return AttachToken{}, bad
	}
	return AttachToken{Key: key, Holder: BoxID{Name: parts[2], Incarnation: inc}}, nil
}

// Attempt identifies one dispatch of one stage of one request. Replies are matched by all three fields.
type Attempt struct {
	Key   Key
	Stage int
	N     int
}

// WireID formats the attempt as backend servers see it. It includes the incarnation of the sending box, so
// that two boxes which got copies of one request do not share an ID at a server.
func (a Attempt) WireID(by BoxID) string {
	return a.Key.ID.String() + "/" + strconv.Itoa(a.Stage) + "/" + strconv.Itoa(a.N) + "/" + by.String()
}

// Fingerprint hashes a request's content, to recognize a key that is reused for another request without
// keeping the content.
func Fingerprint(workspace, pipeline string, input []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(pipeline)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(input)
	return d.Sum64()
}

// PrefixBlocks returns the hashes of the input's leading blocks, each over all input up to the end of the
// block. They are salted with the workspace, so that workspaces share no cache entries.
func PrefixBlocks(workspace string, input []byte) []uint64 {
	n := min(len(input)/BlockBytes, maxPrefixBlocks)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	for i := range n {
		_, _ = d.Write(input[i*BlockBytes : (i+1)*BlockBytes])
		out = append(out, d.Sum64())
	}
	return out
}
