package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"cornelwall"
	"cornelwall/io/web"
)

const (
	// Prefix starts the keys of all profiles in the platform's service.
	Prefix = "cornelwall/profiles/"

	resolveAttempts = 5 // reads to settle a write whose answer was lost
)

// Changer writes profiles to the platform's service.
type Changer struct {
	Store       cornelwall.Store
	LatestKnown func(ctx context.Context, name string) (cornelwall.Profile, error) // the highest version in force here
	NewChangeID func() string                                                      // a unique identity for a change
}

// Preconditions are the conditions of a change.
type Preconditions struct {
	Create        bool   // the profile must not exist yet
	ExpectVersion uint64 // the version that the change replaces; 0 allows any
	ChangeID      string // identity of the change, drawn if it is empty; goes with Create or Expect
}

// Apply writes p as the next version and returns what was accepted. A change that
// repeats the identity of the newest one is not made again.
func (c *Changer) Apply(ctx context.Context, p cornelwall.Profile, terms Preconditions) (cornelwall.Profile, error) {
	p.Normalise()
	if err := p.Check(); err != nil {
		return p, web.InputError(err)
	}
	return c.change(ctx, p.Name, terms, func(cornelwall.Profile) (cornelwall.Profile, error) { return p, nil })
}

// Retire writes a tombstone as the next version of the profile.
func (c *Changer) Retire(ctx context.Context, name string, terms Preconditions) (cornelwall.Profile, error) {
	return c.change(ctx, name, terms, func(old cornelwall.Profile) (cornelwall.Profile, error) {
		if old.Version == 0 {
			return old, merry.Wrap(cornelwall.ErrMissing, merry.AppendMessagef("profile %q does not exist", name))
		}
		old.Retired = true
		return old, nil
	})
}

// change replaces the newest version of a profile by what next makes of it.
func (c *Changer) change(ctx context.Context, name string, terms Preconditions, next func(cornelwall.Profile) (cornelwall.Profile, error)) (cornelwall.Profile, error) {
	pair, old, err := c.read(ctx, name)
	if err != nil {
		return old, err
	}
	known, err := c.LatestKnown(ctx, name)
	if err != nil {
		return old, err
	}
	if known.Newer(&old) {
		old = known // the store went back in time; versions never do
	}
	if terms.ChangeID != "" && terms.ChangeID == old.Change {
		return old, checkRepeat(old, next)
	}
	if err := terms.check(&old); err != nil {
		return old, err
	}
	p, err := next(old)
	if err != nil {
		return p, err
	}
	p.Version = old.Version + 1
	p.Change = cmp.Or(terms.ChangeID, c.NewChangeID())
	value, err := json.Marshal(p)
	if err != nil {
		return p, merry.Wrap(err)
	}
	swapped, err := c.Store.CompareAndSwap(ctx, Prefix+name, pair.Revision, value, 0)
	switch {
	case err != nil:
		return p, c.resolveLostAnswer(ctx, p, err)
	case !swapped:
		return p, c.resolveConflict(ctx, p)
	}
	return p, nil
}

// resolveConflict tells whether the change that won the race was a repetition of p itself.
func (c *Changer) resolveConflict(ctx context.Context, p cornelwall.Profile) error {
	_, held, err := c.read(ctx, p.Name)
	if err != nil {
		return err
	}
	if held.Change == p.Change {
		return nil
	}
	return merry.Wrap(cornelwall.ErrConflict, merry.AppendMessagef("profile %q", p.Name))
}

// check reports why a change may not replace old.
func (t *Preconditions) check(old *cornelwall.Profile) error {
	switch {
	case old.Retired:
		return merry.Wrap(cornelwall.ErrRetired, merry.AppendMessagef("profile %q", old.Name))
	case t.Create && old.Version != 0:
		return merry.Wrap(cornelwall.ErrExists, merry.AppendMessagef("profile %q is at version %d", old.Name, old.Version))
	case t.ExpectVersion != 0 && t.ExpectVersion != old.Version:
		return merry.Wrap(cornelwall.ErrConflict, merry.AppendMessagef("profile %q is at version %d, not %d", old.Name, old.Version, t.ExpectVersion))
	}
	return nil
}

// checkRepeat checks that a change with the identity of the newest one, held, has its
// content too.
func checkRepeat(held cornelwall.Profile, next func(cornelwall.Profile) (cornelwall.Profile, error)) error {
	p, err := next(held)
	p.Version, p.Change = held.Version, held.Change
	if err != nil || p != held {
		return web.InputError(fmt.Errorf("change %q was made with other content; choose a new identity", held.Change))
	}
	return nil
}

func (c *Changer) read(ctx context.Context, name string) (cornelwall.Pair, cornelwall.Profile, error) {
	pair, err := c.Store.Get(ctx, Prefix+name)
	if err != nil || pair.Revision == 0 {
		return pair, cornelwall.Profile{Name: name}, err
	}
	p, err := Decode(pair)
	return pair, p, err
}

// resolveLostAnswer finds out whether a write whose answer was lost took effect. It is an error
// of kind ErrStore if that cannot be told, as when a later change has replaced what
// was written.
func (c *Changer) resolveLostAnswer(ctx context.Context, p cornelwall.Profile, cause error) error {
	for range resolveAttempts {
		_, held, err := c.read(ctx, p.Name)
		if err != nil {
			continue
		}
		if held.Change == p.Change {
			return nil
		}
		if held.Version > p.Version {
			break
		}
		if held.Version == p.Version {
			return merry.Wrap(cornelwall.ErrConflict, merry.AppendMessagef("profile %q", p.Name))
		}
	}
	return merry.Wrap(cornelwall.ErrStore, merry.AppendMessagef(
		"whether version %d of profile %q was accepted is not known; look at its status", p.Version, p.Name), merry.WithCause(cause))
}

// Decode reads a profile as the platform's service holds it.
func Decode(pair cornelwall.Pair) (cornelwall.Profile, error) {
	var p cornelwall.Profile
	if err := json.Unmarshal(pair.Value, &p); err != nil {
		return p, fmt.Errorf("key %q is not a profile; write it with \"cornelwall profile apply\": %w", pair.Key, err)
	}
	if Prefix+p.Name != pair.Key {
		return p, fmt.Errorf("key %q holds the profile %q; write it with \"cornelwall profile apply\"", pair.Key, p.Name)
	}
	return p, errors.Join(p.Check())
}
