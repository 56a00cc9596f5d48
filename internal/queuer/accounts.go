// Package queuer orders waiting requests: tiers by their shares, workspaces and callers by start-time fair queueing, and the
// requests of one caller by deadline.
package queuer

// Accounts hold the service that the workspaces and callers of each tier have received, as tags of start-time fair queueing.
// Several queues may share them, so that requests of one caller in different queues are charged to one account.
type Accounts struct {
	weights map[string]float64
	nodes   map[accountKey]*account
}

type accountKey struct {
	tier              int
	workspace, caller string
}

// account is the root of a tier, a workspace of the tier or a caller of the workspace, depending on which fields its key has.
type account struct {
	tag         float64 // virtual start time of the next request
	virtualTime float64 // virtual time of the children
	refs        int     // queue nodes that refer to the account
	charged     bool    // charged since the last sweep
}

// NewAccounts returns empty accounts.
func NewAccounts() *Accounts {
	return &Accounts{weights: make(map[string]float64), nodes: make(map[accountKey]*account)}
}

// SetWeight sets the weight of a workspace; zero and negative values mean 1.
func (a *Accounts) SetWeight(workspace string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	a.weights[workspace] = weight
}

// Charge adds tokens of service to the accounts of a caller and its workspace. Negative tokens are a refund.
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
		parent.virtualTime = max(parent.virtualTime, child.tag)
	}
	// A refund never moves a tag behind the virtual time, since the account would then be served before all accounts that
	// waited meanwhile.
	child.tag = max(child.tag+amount, parent.virtualTime)
	child.charged, parent.charged = true, true
}

// Sweep deletes the accounts that no queue refers to and that were not charged since the last call.
func (a *Accounts) Sweep() {
	for k, n := range a.nodes {
		if n.refs == 0 && !n.charged && k.workspace != "" {
			delete(a.nodes, k)
		}
		n.charged = false
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

// activate adds a reference to the account of a child. If the child was idle, its tag advances to the virtual time of the parent,
// so that idle time earns no credit.
func (a *Accounts) activate(parent, child accountKey) *account {
	p, c := a.get(parent), a.get(child)
	if c.refs == 0 {
		c.tag = max(c.tag, p.virtualTime)
	}
	c.refs++
	return c
}
