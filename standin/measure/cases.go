package measure

// Loads returns the cases without faults, at increasing load.
func Loads() []Case {
	var cs []Case
	for _, load := range []float64{0.50, 0.65, 0.80, 0.95, 1.10} {
		cs = append(cs, Case{Name: "load", Load: load})
	}
	return cs
}

// Faults returns the cases with faults and bursts.
func Faults() []Case {
	return []Case{
		{Name: "bursts", Load: 0.80, Bursts: true},
		{Name: "failing", Load: 0.80, Failing: true},
		{Name: "dead", Load: 0.80, Dead: true},
		{Name: "slow", Load: 0.80, Slow: true},
		{Name: "cancels", Load: 0.95, Bursts: true, Cancels: true},
		{Name: "cut", Load: 0.65, Partition: true},
		{Name: "all", Load: 0.80, Bursts: true, Failing: true, Dead: true, Slow: true, Cancels: true, Partition: true},
	}
}
