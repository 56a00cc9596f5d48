package membershipplanner_test

import (
	"embed"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
	"github.com/dragonflycroft/dragonflycroft/internal/membershipplanner"
)

//go:embed testdata/*.txt
var cases embed.FS

var options = membershipplanner.Options{TargetVoters: 5, HeartbeatTimeout: time.Second, RemoveLearnerAfter: 5 * time.Second, Standbys: 2}

// Each block of the file has a membership, the control hosts with heartbeats, and the expected change. The test guards against
// never reaching the target number of voters, keeping a voter with a lost data folder, and a removal that loses the quorum.
func TestNext(t *testing.T) {
	raw, err := cases.ReadFile("testdata/next.txt")
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(strings.TrimSpace(string(raw)), "\n\n") {
		lines := strings.Split(block, "\n")
		name := strings.TrimPrefix(lines[0], "# ")
		t.Run(name, func(t *testing.T) {
			var members journaler.Membership
			var hosts []membershipplanner.Host
			want := ""
			for _, line := range lines[1:] {
				kind, rest, _ := strings.Cut(line, " ")
				var id string
				var folder uint64
				var silence time.Duration
				switch kind {
				case "voter", "learner":
					if _, err := fmt.Sscanf(rest, "%s %d", &id, &folder); err != nil {
						t.Fatalf("line %q: %v", line, err)
					}
					members = append(members, journaler.Member{ID: id, Addr: id, Voter: kind == "voter", Incarnation: folder})
				case "heard":
					var ago string
					if _, err := fmt.Sscanf(rest, "%s %d %s", &id, &folder, &ago); err != nil {
						t.Fatalf("line %q: %v", line, err)
					}
					if silence, err = time.ParseDuration(ago); err != nil {
						t.Fatalf("line %q: %v", line, err)
					}
					hosts = append(hosts, membershipplanner.Host{ID: id, Addr: id, FolderIncarnation: folder, SinceHeartbeat: silence})
				case "leaving":
					hosts = append(hosts, membershipplanner.Host{ID: rest, Addr: rest, Leaving: true})
				case "unresponsive", "lagging":
					i := slices.IndexFunc(hosts, func(h membershipplanner.Host) bool { return h.ID == rest })
					hosts[i].Unresponsive, hosts[i].Lagging = hosts[i].Unresponsive || kind == "unresponsive", hosts[i].Lagging || kind == "lagging"
				case "next":
					want = rest
				default:
					t.Fatalf("line %q has an unknown keyword", line)
				}
			}
			c := membershipplanner.Next(members, hosts, options)
			if diff := cmp.Diff(want, strings.TrimSpace(string(c.Action)+" "+c.ID)); diff != "" {
				t.Errorf("change (-want +got):\n%s", diff)
			}
		})
	}
}
