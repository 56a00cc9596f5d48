// Package identifier creates and parses request IDs of the form HOST.INCARNATION.NUMBER-TAG.
package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// tagBytes is the length of the workspace tag, which makes it unlikely that the ID of one workspace is valid in another.
const tagBytes = 6

// Owner returns the owner name of a host and its incarnation, HOST.INCARNATION.
func Owner(host string, incarnation uint64) string {
	return host + "." + strconv.FormatUint(incarnation, 10)
}

// New returns a request ID that includes the owner of the request and a tag derived from the workspace. A caller of another
// workspace that guesses an ID cannot fetch the answer, not even through a host that has no state of the request.
func New(owner string, number uint64, workspace string) string {
	id := owner + "." + strconv.FormatUint(number, 10)
	return id + "-" + workspaceTag(id, workspace)
}

func workspaceTag(id, workspace string) string {
	sum := sha256.Sum256([]byte(id + "\x00" + workspace))
	return hex.EncodeToString(sum[:tagBytes])
}

// Parse returns the host and the owner name in a request ID. It returns false for ok if the ID is malformed or does not belong
// to the workspace.
func Parse(id, workspace string) (host, owner string, ok bool) {
	dash := strings.LastIndexByte(id, '-')
	if dash < 0 || id[dash+1:] != workspaceTag(id[:dash], workspace) {
		return "", "", false
	}
	numberDot := strings.LastIndexByte(id[:dash], '.')
	if numberDot < 0 {
		return "", "", false
	}
	owner = id[:numberDot]
	incarnationDot := strings.LastIndexByte(owner, '.')
	if incarnationDot < 0 {
		return "", "", false
	}
	return owner[:incarnationDot], owner, true
}
