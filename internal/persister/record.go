package persister

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/persister/persisterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// A record is: magic (4 bytes), payload length (4), checksum of these (8), payload, checksum of the payload (8), end mark
// (1). Numbers are big-endian. Neither the magic nor the end mark contains a zero byte, so that blocks which were allocated but
// never written can be detected.
const (
	recordMagic     = 0xd7a6c10f
	recordEnd       = 0xa5
	headerBytes     = 16
	trailerBytes    = 9
	maxPayloadBytes = 1 << 30
	// targetRecordBytes bounds the entry data of one record; a single larger entry still gets a record of its own.
	targetRecordBytes    = 16 << 20
	sectorBytes          = 512
	magicBytes           = 4
	headerChecksumOffset = 8
	endMarkOffset        = 8
)

// DamageError reports a file with durable data that is missing or cannot be read.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("file %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

func appendRecord(buf, payload []byte) []byte {
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, recordMagic)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint64(buf, xxhash.Sum64(buf[start:start+headerChecksumOffset]))
	buf = append(buf, payload...)
	buf = binary.BigEndian.AppendUint64(buf, xxhash.Sum64(payload))
	return append(buf, recordEnd)
}

// nextRecord returns the payload and total size of the first record, or the reason why it cannot be read.
func nextRecord(data []byte) (payload []byte, size int, reason string) {
	if len(data) < headerBytes {
		return nil, 0, "the record header is incomplete"
	}
	if !validHeader(data) {
		return nil, 0, "the record header is invalid"
	}
	n := int(binary.BigEndian.Uint32(data[magicBytes:]))
	size = headerBytes + n + trailerBytes
	if n > maxPayloadBytes || size > len(data) {
		return nil, 0, "the record is incomplete"
	}
	payload = data[headerBytes : headerBytes+n]
	trailer := data[headerBytes+n : size]
	if binary.BigEndian.Uint64(trailer) != xxhash.Sum64(payload) || trailer[endMarkOffset] != recordEnd {
		return nil, 0, "the record checksum does not match"
	}
	return payload, size, ""
}

func validHeader(data []byte) bool {
	return len(data) >= headerBytes && binary.BigEndian.Uint32(data) == recordMagic &&
		binary.BigEndian.Uint64(data[headerChecksumOffset:]) == xxhash.Sum64(data[:headerChecksumOffset])
}

// isTornTail reports whether the unreadable rest of a log can result from a crash during the last write. If another
// complete record follows, or the record is whole and has no unwritten block, it was durable before and is damaged.
func isTornTail(rest []byte) bool {
	if followedByRecord(rest) {
		return false
	}
	if len(rest) < headerBytes {
		return true
	}
	if !validHeader(rest) {
		return hasUnwrittenBlock(rest[:headerBytes]) || hasUnwrittenBlock(rest[:magicBytes])
	}
	size := headerBytes + int(binary.BigEndian.Uint32(rest[magicBytes:])) + trailerBytes
	return size > len(rest) || hasUnwrittenBlock(rest[:size])
}

// followedByRecord reports whether a complete record starts after the first byte.
func followedByRecord(rest []byte) bool {
	magic := binary.BigEndian.AppendUint32(nil, recordMagic)
	for at := 1; at < len(rest); at++ {
		next := bytes.Index(rest[at:], magic)
		if next < 0 {
			return false
		}
		at += next
		if _, _, reason := nextRecord(rest[at:]); reason == "" {
			return true
		}
	}
	return false
}

// hasUnwrittenBlock reports whether a record ends in a zero byte or contains a run of zeros at least one disk sector long.
func hasUnwrittenBlock(record []byte) bool {
	run := 0
	for _, b := range record {
		if b != 0 {
			run = 0
			continue
		}
		if run++; run >= sectorBytes {
			return true
		}
	}
	return run > 0
}

// recordEntryCount returns how many of the entries fit into the next record, at least one if there are any.
func recordEntryCount(entries []replicator.Entry) int {
	size := 0
	for i, e := range entries {
		if size += len(e.Data); size > targetRecordBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

func encodeBatch(state *replicator.State, entries []replicator.Entry, id *persisterpb.Identity) []byte {
	b := &persisterpb.Batch{Identity: id, Entries: EncodeEntries(entries)}
	if state != nil {
		b.State = &persisterpb.State{Term: state.Term, Vote: state.Vote}
	}
	data, err := proto.Marshal(b)
	if err != nil {
		// Marshal only fails for invalid UTF-8 in a string field, and host ids are validated before they get here.
		panic(err)
	}
	return data
}

// EncodeEntries converts entries to protobuf messages.
func EncodeEntries(entries []replicator.Entry) []*persisterpb.Entry {
	out := make([]*persisterpb.Entry, len(entries))
	for i, e := range entries {
		out[i] = &persisterpb.Entry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data, Members: EncodeMembers(e.Members),
		}
	}
	return out
}

// DecodeEntry converts an entry from its protobuf message.
func DecodeEntry(e *persisterpb.Entry) replicator.Entry {
	return replicator.Entry{
		Index: e.GetIndex(), Term: e.GetTerm(), Kind: replicator.EntryKind(e.GetKind()),
		Data: e.GetData(), Members: DecodeMembers(e.GetMembers()),
	}
}

// EncodeMembers converts a membership to protobuf messages.
func EncodeMembers(m replicator.Membership) []*persisterpb.Member {
	out := make([]*persisterpb.Member, len(m))
	for i, member := range m {
		out[i] = &persisterpb.Member{
			Id: member.ID, Addr: member.Addr, Voter: member.Voter, Incarnation: member.Incarnation,
		}
	}
	return out
}

// DecodeMembers converts a membership from its protobuf messages; it returns nil if there are none.
func DecodeMembers(m []*persisterpb.Member) replicator.Membership {
	if len(m) == 0 {
		return nil
	}
	out := make(replicator.Membership, len(m))
	for i, member := range m {
		out[i] = replicator.Member{
			ID: member.GetId(), Addr: member.GetAddr(), Voter: member.GetVoter(), Incarnation: member.GetIncarnation(),
		}
	}
	return out
}
