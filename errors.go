package cornelwall

import "github.com/ansel1/merry/v2"

// Kinds of errors, to compare with errors.Is. Each message names the remedy.
var (
	// ErrInput is invalid user input.
	ErrInput = merry.New("input is not valid; correct the fields named", merry.WithHTTPCode(400))
	// ErrAuth is a missing or wrong token.
	ErrAuth = merry.New("token is missing or wrong; send it as \"Authorization: Bearer TOKEN\"", merry.WithHTTPCode(401))
	// ErrMissing is a request for a name that does not exist.
	ErrMissing = merry.New("no such name; list the names that exist", merry.WithHTTPCode(404))
	// ErrExists is an attempt to create a profile that exists.
	ErrExists = merry.New("profile exists already; change it with \"profile apply\"", merry.WithHTTPCode(409))
	// ErrConflict is a change that lost against a concurrent one.
	ErrConflict = merry.New("changed by someone else meanwhile; read it again and repeat the change", merry.WithHTTPCode(409))
	// ErrRetired is an attempt to change a retired profile.
	ErrRetired = merry.New("profile is retired; choose another name", merry.WithHTTPCode(409))
	// ErrStore is a call of the platform's store that failed or got no answer.
	ErrStore = merry.New("platform service did not answer; try again later", merry.WithHTTPCode(503))
	// ErrPeer is a failed call to another entry.
	ErrPeer = merry.New("entry did not answer; try another entry", merry.WithHTTPCode(503))
	// ErrStopping is a request to an entry that is stopping.
	ErrStopping = merry.New("entry is stopping; use another entry", merry.WithHTTPCode(503))
)
