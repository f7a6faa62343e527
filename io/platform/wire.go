package platform

// The messages of the JSON gateway of etcd v3. Byte strings are encoded as base64 and 64-bit
// integers as strings.

// Header is part of each answer.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KV is one key with its value.
type KV struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or all keys from Key up to End, which is not included.
type RangeRequest struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	KVs    []KV   `json:"kvs,omitempty"`
	Count  int64  `json:"count,string,omitempty"`
	More   bool   `json:"more,omitempty"`
}

// Compare is the condition of a transaction: the key has the revision.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Put writes one key.
type Put struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// Op is one operation of a transaction.
type Op struct {
	Put *Put `json:"request_put,omitempty"`
}

// TxnRequest carries out the operations of Success if all conditions of Compare hold.
type TxnRequest struct {
	Compare []Compare `json:"compare"`
	Success []Op      `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// GrantRequest creates a lease with a TTL in seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string,omitempty"`
}

// GrantResponse answers a GrantRequest.
type GrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
	Error  string `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the keys to watch and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key"`
	End           []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchMessage is one message of the stream of a watch.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *WatchError    `json:"error,omitempty"`
}

// WatchError is the reason why the server ends a watch.
type WatchError struct {
	Message string `json:"message"`
}

// WatchResponse carries the events of a watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change of a key. An empty type means a write.
type Event struct {
	Type string `json:"type,omitempty"`
	KV   KV     `json:"kv"`
}

// EventDelete is the type of an event that deletes its key.
const EventDelete = "DELETE"

// PrefixEnd returns the first key after all keys with the prefix. If there is none, it returns a
// single zero byte, which as the end of a range stands for the end of all keys.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
