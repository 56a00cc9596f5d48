package connector

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of the prompt blocks whose hashes engines publish in cache events.
const PrefixBlockBytes = 256

// PrefixBlockHashes returns the hashes of the complete blocks of a prompt. Each hash covers the prompt up to the end of its
// block, so that equal hashes mean equal prefixes.
func PrefixBlockHashes(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	var previous uint64
	for len(prompt) >= PrefixBlockBytes {
		buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+PrefixBlockBytes), previous)
		previous = xxhash.Sum64(append(buf, prompt[:PrefixBlockBytes]...))
		blocks = append(blocks, previous)
		prompt = prompt[PrefixBlockBytes:]
	}
	return blocks
}
