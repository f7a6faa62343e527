package measure

import "cornelwall/core/node"

// Policy is a way of placing tasks.
type Policy struct {
	Name  string
	apply func(cfg *node.Config, seed uint64)
}

// Loans is the policy that serves.
var Loans = Policy{Name: "loans", apply: func(*node.Config, uint64) {}}

// Policies returns all policies.
func Policies() []Policy { return []Policy{Loans} }
