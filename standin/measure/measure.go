// Package measure simulates all entries of a site under a virtual clock and compares their
// response times with those of an ideal dispatcher on the same arrivals.
//
// The cores are the real ones (core/node). Only the network, the executors, the clients and
// the clock are fakes. The same seed gives the same figures.
//
// # Usage
//
//	result := measure.Run(measure.Ewaoko(), measure.Case{Name: "load", Load: 0.8}, measure.Loans, 1)
//	fmt.Println(result.Response.Mean, result.Ideal.Mean, result.WastePerTask())
package measure
