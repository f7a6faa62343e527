package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cornelwall"
)

const watchPath = "/v3/watch"

// Watch calls f for each change of a key with the prefix after the revision. It returns the error
// of ctx when ctx ends, and an error of kind ErrStore when the stream breaks.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, f func(cornelwall.Change)) error {
	if len(c.cfg.URLs) == 0 {
		return storeError(watchPath, errors.New("no URL of the store is configured"))
	}
	n := c.preferred.Load()
	err := c.watch(ctx, c.serverURL(n), prefix, after, f)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.preferred.CompareAndSwap(n, n+1)
	return storeError(watchPath, err)
}

func (c *Client) watch(ctx context.Context, base, prefix string, after uint64, f func(cornelwall.Change)) error {
	req := WatchRequest{Create: WatchCreate{Key: firstKey(prefix), End: PrefixEnd(prefix), StartRevision: int64(after) + 1}}
	resp, err := c.send(ctx, base+watchPath, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxWatchLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := handleLine(lines.Bytes(), f); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("watch stream ended")
}

// handleLine decodes one message of a watch and calls f for each change in it.
func handleLine(line []byte, f func(cornelwall.Change)) error {
	var msg WatchMessage
	if err := json.Unmarshal(line, &msg); err != nil {
		return err
	}
	switch {
	case msg.Error != nil:
		return errors.New(msg.Error.Message)
	case msg.Result == nil:
		return errors.New("watch message has neither result nor error")
	case msg.Result.Canceled:
		return fmt.Errorf("watch was cancelled by the store; revisions up to %d are compacted", msg.Result.CompactRevision)
	}
	for _, ev := range msg.Result.Events {
		f(cornelwall.Change{Pair: toPair(ev.KV), Deleted: ev.Type == EventDelete})
	}
	return nil
}
