package catalog

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cornelwall"
	_ "cornelwall/standin/seeded"
)

func profile(version uint64, change string, queue int) cornelwall.Profile {
	return cornelwall.Profile{Name: "holds", Team: "bookings", Version: version, Change: change, Queue: queue}
}

// TestMergeOrderDoesNotMatter merges the same profiles into two catalogs in opposite orders, some
// of them with the same version but other content. It checks that the catalogs end up equal and
// that the version never decreases.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) cornelwall.Profile {
			return profile(rapid.Uint64Range(1, 3).Draw(t, "version"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "change"),
				rapid.IntRange(1, 2).Draw(t, "queue"))
		}), 1, 8).Draw(t, "versions")
		a, b := New(), New()
		for i, p := range versions {
			before, _ := a.Latest("holds")
			a.Merge(p)
			after, _ := a.Latest("holds")
			assert.Assert(t, after.Version >= before.Version)
			b.Merge(versions[len(versions)-1-i])
		}
		assert.DeepEqual(t, a.All(), b.All())
		assert.Equal(t, a.Digest(), b.Digest())
	})
}

// TestSameVersionConverges checks that two catalogs converge that have the same version of a
// profile with different content, when they exchange profiles as peers with different digests do.
func TestSameVersionConverges(t *testing.T) {
	for _, tt := range []struct {
		name string
		p, q cornelwall.Profile
	}{
		{"written by two changes", profile(2, "a", 1), profile(2, "b", 1)},
		{"written by hand", profile(2, "", 1), profile(2, "", 2)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, b := New(), New()
			a.Merge(tt.p)
			b.Merge(tt.q)
			assert.Assert(t, a.Digest() != b.Digest())
			for _, p := range a.NewerThan(b.Versions()) {
				b.Merge(p)
			}
			for _, p := range b.NewerThan(a.Versions()) {
				a.Merge(p)
			}
			assert.DeepEqual(t, a.All(), b.All())
			assert.Equal(t, a.Digest(), b.Digest())
		})
	}
}
