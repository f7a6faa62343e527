package admit

import "time"

const (
	decay            = 0.98                  // share of what is known that one more job leaves
	minPredictedWait = 50 * time.Millisecond // predictions below it say nothing
	maxObservedRatio = 8
)

// Calibration compares predicted with observed waits. What comes after a job and goes
// before it is in no queue yet when its wait is predicted; the comparison tells how
// much that is.
type Calibration struct {
	predicted float64 // seconds, of recent jobs
	observed  float64
}

// Observe records a job that was predicted to wait so long.
func (c *Calibration) Observe(predicted, observed time.Duration) {
	if predicted < minPredictedWait {
		return
	}
	c.predicted = decay*c.predicted + predicted.Seconds()
	c.observed = decay*c.observed + min(maxObservedRatio*predicted, max(0, observed)).Seconds()
}

// Correct returns the wait to expect when so much is predicted. It is never less than
// the prediction, as waits get shorter when jobs are refused.
func (c *Calibration) Correct(predicted time.Duration) time.Duration {
	if c.predicted == 0 {
		return predicted
	}
	return time.Duration(float64(predicted) * max(1, c.observed/c.predicted))
}
