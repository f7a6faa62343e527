package admit

import "time"

const (
	decay            = 0.98                  // factor by which each new job reduces the weight of earlier ones
	minPredictedWait = 50 * time.Millisecond // shorter predictions are ignored, as they carry no information
	maxObservedRatio = 8                     // cap on observed / predicted wait of a single job
)

// Calibration corrects predicted queue waits by the ratio of observed to predicted ones. A
// prediction misses jobs that arrive later and are run earlier; the ratio shows how much longer
// those make the wait.
type Calibration struct {
	predicted float64 // exponentially decayed sum over recent jobs, in seconds
	observed  float64 // likewise
}

// Observe records the predicted and the observed wait of a job.
func (c *Calibration) Observe(predicted, observed time.Duration) {
	if predicted < minPredictedWait {
		return
	}
	c.predicted = decay*c.predicted + predicted.Seconds()
	c.observed = decay*c.observed + min(maxObservedRatio*predicted, max(0, observed)).Seconds()
}

// Correct returns the expected wait for a predicted one. It is never less than the prediction,
// since refusing jobs shortens the observed waits.
func (c *Calibration) Correct(predicted time.Duration) time.Duration {
	if c.predicted == 0 {
		return predicted
	}
	return time.Duration(float64(predicted) * max(1, c.observed/c.predicted))
}
