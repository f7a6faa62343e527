package measure

import (
	"cornelwall"
	"cornelwall/core/node"
	"cornelwall/standin/measure/baseline"
)

// Policy is a way of placing tasks on executors.
type Policy struct {
	Name      string
	Baseline  bool // runs only in the load cases, with few seeds
	configure func(cfg *node.Config, seed uint64)
}

// Loans is the policy of the product, the default of core/node: entries lend each other slots.
var Loans = Policy{Name: "loans", configure: func(*node.Config, uint64) {}}

// Shares gives each entry a fixed share of the slots of every executor.
var Shares = Policy{Name: "shares", Baseline: true, configure: func(cfg *node.Config, _ uint64) {
	cfg.Placer = func(self cornelwall.Incarnation) cornelwall.Placer { return baseline.NewShares(self) }
}}

// Random places tasks on random executors and retries the refused ones.
var Random = Policy{Name: "random", Baseline: true, configure: func(cfg *node.Config, seed uint64) {
	cfg.RetryRatio = 100 // Random learns only from refusals which executors are full
	cfg.Placer = func(cornelwall.Incarnation) cornelwall.Placer { return baseline.NewRandom(seed) }
}}

// Policies returns all policies.
func Policies() []Policy { return []Policy{Loans, Shares, Random} }
