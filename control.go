package dragonflycroft

import (
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/administrator"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/lister"
	"github.com/dragonflycroft/dragonflycroft/internal/localcontroller"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// ReplicatedControl configures the control part that is replicated over several hosts.
type ReplicatedControl struct {
	// Controllers are the peer addresses of the control hosts by host id.
	Controllers map[string]string
	// DataDir is the data folder; a host with one is a control host.
	DataDir string
	// Bootstrap forms the cluster from Controllers when the data folder is empty.
	Bootstrap bool
	// OperatorAddr is the listen address for operators; empty means none.
	OperatorAddr string
	// OperatorTokens are the hexadecimal SHA-256 digests of the operators' tokens by name.
	OperatorTokens map[string]string
}

// DecodeConfig decodes a configuration document strictly and validates it. The error lists every problem with its path.
func DecodeConfig(document []byte) (*Config, error) { return configurer.Decode(document) }

// UseReplicatedControl makes the node a member of a system of several hosts. Call it before Run.
func (n *Node) UseReplicatedControl(c ReplicatedControl) {
	n.NewControl = func(t *transporter.Transport) (Control, error) {
		p := participant.New(t, participant.Options{
			HostID: n.HostID, Zone: n.Zone, CallersAddr: n.CallerAddr, Controllers: c.Controllers,
			DataDir: c.DataDir, Bootstrap: c.Bootstrap,
		})
		if c.OperatorAddr != "" {
			operators := make([]administrator.Operator, 0, len(c.OperatorTokens))
			for _, name := range slices.Sorted(maps.Keys(c.OperatorTokens)) {
				operators = append(operators, administrator.Operator{Name: name, TokenSHA256: c.OperatorTokens[name]})
			}
			n.Operators = &administrator.Administrator{ListenAddr: c.OperatorAddr, Operators: operators, Control: p.Client()}
		}
		return p, nil
	}
}

// UseTrialControl makes the node run alone on a fixed configuration. Nothing is replicated, and orders are lost when the
// process ends. Call it before Run.
func (n *Node) UseTrialControl(cfg *Config) {
	n.NewControl = func(t *transporter.Transport) (Control, error) {
		klog.Warningf("node: trial host=%s reason=%q", n.HostID, "configuration, roles and orders are held in memory by this process alone")
		return localcontroller.New(cfg).Host(n.HostID, t.Addr()), nil
	}
}

// UseHostList makes the node read the platform's list of live and leaving endpoints at addr. Call it before Run, after
// setting Endpoint.
func (n *Node) UseHostList(addr string) {
	n.HostList = &lister.HTTPSource{Addr: addr, Timeouts: n.Endpoint}
}
