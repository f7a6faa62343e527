// Package measure runs the decisions of all entries of a site under a virtual clock
// and compares them with an ideal dispatcher on the same arrivals.
//
// The cores are those that serve (core/node). Only the network, the executors, the
// clients and the clock are fakes. The same seed gives the same figures.
//
// # Usage
//
//	result := measure.Run(measure.Ewaoko(), measure.Case{Name: "load", Load: 0.8}, measure.Loans, 1)
//	fmt.Println(result.Mean, result.Ideal.Mean, result.WastePerTask())
package measure
