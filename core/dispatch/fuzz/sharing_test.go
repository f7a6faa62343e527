package fuzz

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cornelwall"
	"cornelwall/standin/fake"
)

// TestSentMessagesAreNotChanged guards against messages that a goroutine encodes while the core changes what they point to.
func TestSentMessagesAreNotChanged(t *testing.T) {
	canonical, err := cbor.CanonicalEncOptions().EncMode()
	assert.NilError(t, err)
	encode := func(messages []cornelwall.Message) []byte {
		b, err := canonical.Marshal(messages)
		assert.NilError(t, err)
		return b
	}
	for seed := uint64(128); seed < 136; seed++ {
		r := newRig(seed, mutation{})
		link := r.w.Link
		checked := 0
		r.w.Link = func(from, to cornelwall.Incarnation, e cornelwall.Envelope) fake.Delivery {
			sent := slices.Clone(e.Messages)
			encoded := encode(sent)
			clear(e.Messages) // the receiver gets a copy, as over a network
			assert.NilError(t, cbor.Unmarshal(encoded, &e.Messages))
			r.w.CallAfter(400*time.Millisecond, func() {
				checked++
				if !bytes.Equal(encode(sent), encoded) {
					r.failure = fmt.Sprintf("%s changed a message after it was sent", from)
				}
			})
			return link(from, to, e)
		}
		r.play(allActions)
		assert.Equal(t, r.failure, "", "seed %d", seed)
		assert.Assert(t, checked > 0)
	}
}
