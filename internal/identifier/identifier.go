// Package identifier makes and reads request ids, HOST.INCARNATION.NUMBER-TAG.
package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// tagBytes keep ids of one workspace from being valid in another by chance.
const tagBytes = 6

// Owner names a host and its incarnation.
func Owner(host string, incarnation uint64) string {
	return host + "." + strconv.FormatUint(incarnation, 10)
}

// New names the owner of a request and ties the id to a workspace: a caller of another workspace that guesses an id cannot
// fetch its answer, also from a host that holds no state of the request.
func New(owner string, number uint64, workspace string) string {
	id := owner + "." + strconv.FormatUint(number, 10)
	return id + "-" + tagOf(id, workspace)
}

func tagOf(id, workspace string) string {
	sum := sha256.Sum256([]byte(id + "\x00" + workspace))
	return hex.EncodeToString(sum[:tagBytes])
}

// Parse returns the owner in a request id, and false when the id does not belong to the workspace.
func Parse(id, workspace string) (host, owner string, ok bool) {
	i := strings.LastIndexByte(id, '-')
	if i < 0 || id[i+1:] != tagOf(id[:i], workspace) {
		return "", "", false
	}
	last := strings.LastIndexByte(id[:i], '.')
	if last < 0 {
		return "", "", false
	}
	owner = id[:last]
	dot := strings.LastIndexByte(owner, '.')
	if dot < 0 {
		return "", "", false
	}
	return owner[:dot], owner, true
}
