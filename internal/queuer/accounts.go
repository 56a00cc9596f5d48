// Package queuer orders waiting work: tiers by shares, workspaces and callers by fair queueing, requests by deadline.
package queuer

// Accounts hold the service that workspaces and callers of each tier have received, as start-time fair queueing tags.
// Several queues may share them, so that work that waits in separate lanes is charged to one account.
type Accounts struct {
	weights map[string]float64
	nodes   map[accountKey]*account
}

type accountKey struct {
	tier              int
	workspace, caller string
}

// account is a workspace of a tier, or a caller of a workspace when its key has a caller.
type account struct {
	tag     float64 // virtual start time of the next request
	clock   float64 // virtual time among the children
	users   int     // queue nodes that refer to the account
	touched bool    // charged since the last sweep
}

// NewAccounts returns empty accounts.
func NewAccounts() *Accounts {
	return &Accounts{weights: make(map[string]float64), nodes: make(map[accountKey]*account)}
}

// SetWeight sets the weight of a workspace; values that are not positive count as 1.
func (a *Accounts) SetWeight(workspace string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	a.weights[workspace] = weight
}

// Charge books tokens of service to a caller and its workspace. Negative tokens give service back.
func (a *Accounts) Charge(tier int, workspace, caller string, tokens float64) {
	weight := a.weights[workspace]
	if weight <= 0 {
		weight = 1
	}
	root := a.get(accountKey{tier: tier})
	ws := a.get(accountKey{tier: tier, workspace: workspace})
	a.charge(root, ws, tokens/weight)
	a.charge(ws, a.get(accountKey{tier, workspace, caller}), tokens)
}

func (a *Accounts) charge(parent, child *account, amount float64) {
	if amount > 0 {
		parent.clock = max(parent.clock, child.tag)
	}
	// A refund never moves an account behind the clock, where it would be ahead of everyone who waited meanwhile.
	child.tag = max(child.tag+amount, parent.clock)
	child.touched, parent.touched = true, true
}

// Sweep forgets the accounts that no queue refers to and that were not charged since the last sweep.
func (a *Accounts) Sweep() {
	for k, n := range a.nodes {
		if n.users == 0 && !n.touched && k.workspace != "" {
			delete(a.nodes, k)
		}
		n.touched = false
	}
}

func (a *Accounts) get(k accountKey) *account {
	n := a.nodes[k]
	if n == nil {
		n = &account{}
		a.nodes[k] = n
	}
	return n
}

// activate prepares the account of a child that becomes backlogged: idle time earns no service.
func (a *Accounts) activate(parent, child accountKey) *account {
	p, c := a.get(parent), a.get(child)
	if c.users == 0 {
		c.tag = max(c.tag, p.clock)
	}
	c.users++
	return c
}
