package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// checker is a message type that can check whether it is valid.
type checker interface{ Check() error }

// Codec is a connect codec that encodes structs as CBOR. It checks messages when it decodes
// them, and ignores fields that this version does not know.
type Codec struct{ mode cbor.DecMode }

const (
	maxNestedLevels = 16
	maxElements     = 1 << 17
)

// NewCodec returns the codec.
func NewCodec() Codec {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return Codec{mode: mode}
}

// Name returns the name of the codec in content types.
func (Codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (Codec) Marshal(m any) ([]byte, error) { return cbor.Marshal(m) }

// Unmarshal decodes a message and checks it.
func (c Codec) Unmarshal(data []byte, m any) error {
	if err := c.mode.Unmarshal(data, m); err != nil {
		return fmt.Errorf("message cannot be decoded; run one version on all entries: %w", err)
	}
	if ch, ok := m.(checker); ok {
		if err := ch.Check(); err != nil {
			return fmt.Errorf("message is not valid: %w", err)
		}
	}
	return nil
}
