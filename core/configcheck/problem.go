package configcheck

import "slices"

//go:generate go tool enumer -type=Severity -text -transform=kebab -trimprefix=Severity -output=severity_gen.go

// Severity is whether a problem must be corrected.
type Severity int

const (
	SeverityWarning Severity = iota // takes effect as described, which may not be intended
	SeverityError                   // is rejected, or cannot be intended
)

// Place is a position in a file.
type Place struct {
	Path string `json:"path,omitempty"` // of a field, such as "limits.memory"; empty for the whole file
	Line int    `json:"line,omitempty"` // from 1; 0 if it is not known
}

// Problem is a problem with a configuration or with settings.
type Problem struct {
	Severity Severity `json:"severity"`
	Place    Place    `json:"place"`
	Queue    string   `json:"queue,omitempty"` // name of the queue concerned
	Text     string   `json:"text"`            // what is wrong
	Remedy   string   `json:"remedy"`
}

// HasErrors reports whether any of the problems is an error.
func HasErrors(ps []Problem) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Severity == SeverityError })
}
