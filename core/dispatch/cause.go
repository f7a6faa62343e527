package dispatch

//go:generate go tool enumer -type=endCause -transform=kebab -trimprefix=end -output=cause_gen.go

// endCause is what a holder concluded the end of a run from.
type endCause int

const (
	endListed    endCause = iota // the endpoint lists it
	endNotListed                 // the endpoint no longer lists the run
	endRefused                   // the endpoint refused to start it
	endLeaseOver                 // its lease has ended on the endpoint's clock
	endReplaced                  // another endpoint has the address
	endNotKept                   // the next holder of the endpoint has not kept it
)
