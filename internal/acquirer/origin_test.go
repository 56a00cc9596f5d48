package acquirer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
)

const originHosts = 3

// originDay is one day of testdata/origins.txt.
type originDay struct {
	name  string
	steps [][]string
}

func readOriginDays(t *testing.T) []originDay {
	t.Helper()
	data, err := os.ReadFile("testdata/origins.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out []originDay
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		case fields[0] == "day":
			out = append(out, originDay{name: fields[1]})
		default:
			out[len(out)-1].steps = append(out[len(out)-1].steps, fields)
		}
	}
	return out
}

// listWith returns the endpoints with the versions in turn.
func (f *fixture) listWith(versions []string) []balancer.Endpoint {
	list := slices.Clone(f.endpoints)
	for i := range list {
		list[i].Version = versions[i%len(versions)]
	}
	return list
}

// setVersions gives the endpoints the versions in turn.
func (f *fixture) setVersions(versions []string) {
	list := f.listWith(versions)
	f.endpoints = list
	for id, c := range f.coordinators {
		if f.alive[id] {
			c.SetEndpoints(list)
		}
	}
	for _, a := range f.clients {
		a.SetEndpoints(list)
	}
}

// processes returns the control hosts and the entry hosts that a word of a script names.
func (f *fixture) processes(word string) (controlHosts []string, hosts bool) {
	if word == "home" {
		return []string{f.owner(0)}, false
	}
	if word != "hosts" {
		for _, h := range f.hosts() {
			if word != "others" || h.ID != f.owner(0) {
				controlHosts = append(controlHosts, h.ID)
			}
		}
	}
	return controlHosts, word == "hosts" || word == "all"
}

func (f *fixture) originStep(step []string) (got, want string) {
	host := 0
	if len(step) > 1 {
		host, _ = strconv.Atoi(step[1])
	}
	switch step[0] {
	case "stream":
		o, endpoint := registrar.Origin{Pool: "p", Version: step[3], Joinable: true}, ""
		if len(step) > 4 {
			endpoint = step[4]
		}
		f.clients[host].ReportStreamAt(coordinator.Digest(step[2]), o, endpoint)
	case "list":
		f.setVersions(step[1:])
	case "see":
		f.coordinators[f.owner(host)].SetEndpoints(f.listWith(step[2:]))
	case "look":
		f.clients[host].SetEndpoints(f.listWith(step[2:]))
	case "join":
		o, ok := f.clients[host].StreamOrigin(f.ctx, coordinator.Digest(step[2]), "p")
		switch {
		case !ok:
			return "unknown", step[3]
		case !o.Joinable:
			return "refused", step[3]
		}
		return o.Version, step[3]
	case "part":
		f.mu.Lock()
		for _, number := range step[2:] {
			n, _ := strconv.Atoi(number)
			f.parted[[2]string{"h" + step[1], f.owner(n)}] = true
		}
		f.mu.Unlock()
	case "apart":
		f.mu.Lock()
		f.peerIsolated[f.owner(host)] = true
		f.mu.Unlock()
	case "meet":
		f.mu.Lock()
		clear(f.parted)
		f.mu.Unlock()
	case "age":
		d, err := time.ParseDuration(step[1])
		if err != nil {
			f.t.Fatal(err)
		}
		f.mu.Lock()
		f.listAge = d
		f.mu.Unlock()
	case "kill":
		ids, hosts := f.processes(step[1])
		if hosts {
			for i := range originHosts {
				f.kill(fmt.Sprintf("h%d", i))
			}
			f.mu.Lock()
			f.clients, f.locals, f.duplicators = nil, nil, nil
			f.mu.Unlock()
		}
		for _, id := range ids {
			f.kill(id)
		}
	case "end":
		f.kill(fmt.Sprintf("h%d", host))
	case "begin":
		f.addHost(host)
	case "start":
		ids, hosts := f.processes(step[1])
		f.bootstrap = false
		for _, id := range ids {
			f.start(id)
		}
		for i := range originHosts {
			if hosts {
				f.addHost(i)
			}
		}
	case "disk":
		ids, _ := f.processes(step[1])
		for _, id := range ids {
			if err := os.Remove(filepath.Join(f.historyDir, id)); err != nil {
				f.t.Error(err)
			}
		}
	case "wait":
		d, err := time.ParseDuration(step[1])
		if err != nil {
			f.t.Fatal(err)
		}
		time.Sleep(d)
	default:
		f.t.Fatalf("unknown step %q", step)
	}
	return "", ""
}

// Guards against going on with a stream at an endpoint of another version than the one that began it, and against refusing to where
// the version is certain, when hosts and coordinators restart. The comments in the file say what each day guards against.
func TestOriginDays(t *testing.T) {
	for _, d := range readOriginDays(t) {
		t.Run(d.name, func(t *testing.T) {
			dir := t.TempDir()
			runWith(t, originHosts, 6, 40, func(f *fixture) { f.historyDir, f.bootstrap, f.version = dir, true, "v1" }, func(f *fixture) {
				var got, want []string
				for _, step := range d.steps {
					if g, w := f.originStep(step); w != "" {
						line := strings.Join(step[:3], " ")
						got, want = append(got, line+" "+g), append(want, line+" "+w)
					}
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("origins (-want +got):\n%s", diff)
				}
			})
		})
	}
}
