package dispatch

//go:generate go tool enumer -type=endCause -transform=kebab -trimprefix=end -output=cause_gen.go

// endCause is the evidence from which a holder concluded that a run has ended.
type endCause int

const (
	endListed    endCause = iota // the endpoint lists the run as ended
	endNotListed                 // the endpoint no longer lists the run
	endRefused                   // the endpoint refused to start it
	endLeaseOver                 // the lease has expired on the endpoint's clock
	endReplaced                  // another endpoint now has the address
	endNotKept                   // the next holder of the endpoint did not keep the run
)
