package worker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

func TestUsageLags(t *testing.T) {
	const lag = 2 * time.Second
	begin := time.Unix(1000, 0)
	var u usage
	u.add(begin, cornelwall.Need{Cores: 2}, lag)
	u.add(begin.Add(time.Second), cornelwall.Need{Cores: 1, Memory: 5}, lag)
	assert.DeepEqual(t, u.current(), cornelwall.Need{Cores: 3, Memory: 5})
	assert.DeepEqual(t, u.at(begin), cornelwall.Need{Cores: 2})
	assert.DeepEqual(t, u.at(begin.Add(-time.Second)), cornelwall.Need{})
	u.add(begin.Add(time.Minute), cornelwall.Need{Cores: -3, Memory: -5}, lag)
	assert.DeepEqual(t, u.current(), cornelwall.Need{})
	assert.Equal(t, len(u.samples), 2, "samples older than the lag are dropped")
}
