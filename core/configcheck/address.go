package configcheck

import (
	"strings"
	"unicode"
)

// address is the host and the prefix by which requests find a queue.
type address struct{ host, prefix string }

// hostSigns are the characters beside letters and digits that the Host header of a request can have.
const hostSigns = "!$%&'()*+,-.:;=[]_~"

// checkHost checks the host, which is compared with the Host header of a request byte by byte.
func (c *queueChecker) checkHost() {
	host := c.queue.Host
	switch i := strings.IndexFunc(host, func(r rune) bool { return !isHostCharacter(r) }); {
	case host == "":
		c.warnAt(FieldHost, "set the host that callers name", "no host is set, so that only requests with an empty Host header match")
	case i >= 0:
		c.errorAt(FieldHost, "write a host name without scheme or path", "host %q contains %q, which no Host header has", host, []rune(host[i:])[0])
	case strings.Contains(host, "*"):
		c.warnAt(FieldHost, "write one queue for each host", "host %q has a \"*\", which matches only itself", host)
	case strings.ToLower(host) != host:
		c.warnAt(FieldHost, "write "+strings.ToLower(host), "host %q has capital letters, while most clients send small ones", host)
	}
}

func isHostCharacter(r rune) bool {
	return r < unicode.MaxASCII && (unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune(hostSigns, r))
}

// checkPrefix checks the prefix, which is compared with the decoded path of a request.
func (c *queueChecker) checkPrefix() {
	prefix := c.queue.Prefix
	switch i := strings.IndexFunc(prefix, func(r rune) bool { return r == '?' || r == '#' || unicode.IsControl(r) }); {
	case !strings.HasPrefix(prefix, "/"):
		c.errorAt(FieldPrefix, "write "+"/"+prefix, "prefix %q does not begin with \"/\", and entries reject it", prefix)
	case c.MaxPath > 0 && len(prefix) > c.MaxPath:
		c.errorAt(FieldPrefix, "write a shorter prefix", "the prefix has %d bytes, while no path can have more than %d", len(prefix), c.MaxPath)
	case i >= 0:
		c.errorAt(FieldPrefix, "write the path only", "prefix %q contains %q, which a path has only as an escape", prefix, []rune(prefix[i:])[0])
	case strings.Contains(prefix, "%"):
		c.warnAt(FieldPrefix, "write the character itself", "prefix %q has a \"%%\", while paths are compared after their escapes are decoded", prefix)
	case hasRelativeSegment(prefix):
		c.warnAt(FieldPrefix, "write the path that clients send", "prefix %q has an empty, \".\" or \"..\" segment, which clients mostly remove", prefix)
	}
}

// hasRelativeSegment reports whether a path has an empty segment, other than the last, or one of dots.
func hasRelativeSegment(path string) bool {
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, s := range segments {
		if s == "." || s == ".." || s == "" && i < len(segments)-1 {
			return true
		}
	}
	return false
}

// checkAddress reports a queue that never gets a batch because an earlier one has the same host and prefix.
func (c *queueChecker) checkAddress() {
	if c.source.State(c.index, FieldHost) == StateUnreadable || c.queue.Prefix == "" {
		return
	}
	a := address{c.queue.Host, c.queue.Prefix}
	first, ok := c.addresses[a]
	if !ok {
		c.addresses[a] = c.index
		return
	}
	c.errorAt(FieldPrefix, "remove one of the queues, or change its host or prefix",
		"%s has the same host and prefix and gets all batches", c.source.Place(first, FieldPrefix).Path)
}
