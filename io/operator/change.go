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
	// Prefix is the key prefix of the profiles in the platform's store.
	Prefix = "cornelwall/profiles/"

	resolveAttempts = 5 // reads to find out whether a write took effect, if its answer was lost
)

// Changer writes profiles to the platform's store.
type Changer struct {
	Store       cornelwall.Store
	LatestKnown func(ctx context.Context, name string) (cornelwall.Profile, error) // the highest version that this entry knows
	NewChangeID func() string                                                      // returns a unique ID for a change
}

// Preconditions are the conditions under which a change is made, and its ID.
type Preconditions struct {
	Create        bool   // the profile must not exist
	ExpectVersion uint64 // the version that the change must replace; 0 allows any
	ChangeID      string // unique ID of the change, generated if empty; requires Create or ExpectVersion
}

// Apply writes p as the next version of the profile and returns the accepted profile. It is
// idempotent: a change with the ID of the newest version is not made again.
func (c *Changer) Apply(ctx context.Context, p cornelwall.Profile, pre Preconditions) (cornelwall.Profile, error) {
	p.Normalise()
	if err := p.Check(); err != nil {
		return p, web.InputError(err)
	}
	return c.change(ctx, p.Name, pre, func(cornelwall.Profile) (cornelwall.Profile, error) { return p, nil })
}

// Retire writes a tombstone as the next version of the profile.
func (c *Changer) Retire(ctx context.Context, name string, pre Preconditions) (cornelwall.Profile, error) {
	return c.change(ctx, name, pre, func(old cornelwall.Profile) (cornelwall.Profile, error) {
		if old.Version == 0 {
			return old, merry.Wrap(cornelwall.ErrMissing, merry.AppendMessagef("profile %q does not exist", name))
		}
		old.Retired = true
		return old, nil
	})
}

// change replaces the newest version of a profile by the one that next derives from it.
func (c *Changer) change(ctx context.Context, name string, pre Preconditions, next func(cornelwall.Profile) (cornelwall.Profile, error)) (cornelwall.Profile, error) {
	pair, old, err := c.read(ctx, name)
	if err != nil {
		return old, err
	}
	known, err := c.LatestKnown(ctx, name)
	if err != nil {
		return old, err
	}
	if known.Newer(&old) {
		old = known // the store was rolled back, but versions must not decrease
	}
	if pre.ChangeID != "" && pre.ChangeID == old.Change {
		return old, checkRepeat(old, next)
	}
	if err := pre.check(&old); err != nil {
		return old, err
	}
	p, err := next(old)
	if err != nil {
		return p, err
	}
	p.Version = old.Version + 1
	p.Change = cmp.Or(pre.ChangeID, c.NewChangeID())
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

// resolveConflict is called when another write won the compare-and-swap. It returns nil if that
// write was a repetition of the same change, and an ErrConflict if it was another change.
func (c *Changer) resolveConflict(ctx context.Context, p cornelwall.Profile) error {
	_, stored, err := c.read(ctx, p.Name)
	if err != nil {
		return err
	}
	if stored.Change == p.Change {
		return nil
	}
	return merry.Wrap(cornelwall.ErrConflict, merry.AppendMessagef("profile %q", p.Name))
}

// check returns an error if a change must not replace old.
func (pre *Preconditions) check(old *cornelwall.Profile) error {
	switch {
	case old.Retired:
		return merry.Wrap(cornelwall.ErrRetired, merry.AppendMessagef("profile %q", old.Name))
	case pre.Create && old.Version != 0:
		return merry.Wrap(cornelwall.ErrExists, merry.AppendMessagef("profile %q is at version %d", old.Name, old.Version))
	case pre.ExpectVersion != 0 && pre.ExpectVersion != old.Version:
		return merry.Wrap(cornelwall.ErrConflict, merry.AppendMessagef("profile %q is at version %d, not %d", old.Name, old.Version, pre.ExpectVersion))
	}
	return nil
}

// checkRepeat returns an error if a change with the ID of the stored one has different content.
func checkRepeat(stored cornelwall.Profile, next func(cornelwall.Profile) (cornelwall.Profile, error)) error {
	p, err := next(stored)
	p.Version, p.Change = stored.Version, stored.Change
	if err != nil || p != stored {
		return web.InputError(fmt.Errorf("change %q was made with other content; choose a new identity", stored.Change))
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

// resolveLostAnswer finds out whether a write whose answer was lost took effect. It returns nil
// if it did, an ErrConflict if another change has the version instead, and an ErrStore if the
// outcome stays unknown, for example because a later change has replaced the version.
func (c *Changer) resolveLostAnswer(ctx context.Context, p cornelwall.Profile, cause error) error {
	for range resolveAttempts {
		_, stored, err := c.read(ctx, p.Name)
		if err != nil {
			continue
		}
		if stored.Change == p.Change {
			return nil
		}
		if stored.Version > p.Version {
			break
		}
		if stored.Version == p.Version {
			return merry.Wrap(cornelwall.ErrConflict, merry.AppendMessagef("profile %q", p.Name))
		}
	}
	return merry.Wrap(cornelwall.ErrStore, merry.AppendMessagef(
		"whether version %d of profile %q was accepted is not known; look at its status", p.Version, p.Name), merry.WithCause(cause))
}

// Decode decodes a profile from a key of the platform's store.
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
