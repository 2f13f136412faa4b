package decide

import (
	"math"
	"time"
)

// How long served attempts of a class take, and how that grows with their expected work.

const (
	baselineTime = time.Minute // time constant with which the baseline follows slower answers
	meanCount    = 40          // answers over which latencyModel.mean is smoothed
	slopePrior   = 0.05        // weight, as a variance of work, of the prior that latency grows as work does
	// Answers over which slowMean is smoothed. The baseline is its minimum; the minimum of a mean over fewer
	// answers would be mostly chance.
	slowMeanCount = 200
)

// latencyModel describes the latency of served attempts of a class, as logarithms of seconds, normalized to
// the usual work (meanWork). The latency is regressed on the work, because a part of the latency is the same
// for all requests, however much work they carry.
type latencyModel struct {
	mean     float64 // smoothed logarithm of the normalized latency
	slowMean float64 // the same over more answers
	baseline float64 // the lowest slowMean lately
	meanWork float64 // smoothed logarithm of the work
	// Smoothed square of the deviation of the work's logarithm, and its product with that of the latency.
	workVariance, covariance float64
	count                    int // served attempts, counted up to slowMeanCount
	updatedAt                Time
}

// observe adds a served attempt. limited reports whether the limit keeps requests back.
func (m *latencyModel) observe(now Time, work float64, latency time.Duration, limited bool) {
	if m.count == 0 {
		m.meanWork = math.Log(work)
	}
	m.count = min(m.count+1, slowMeanCount)
	gain, normalized, deviation := 1/float64(m.count), m.normalized(work, latency), math.Log(work)-m.meanWork
	m.covariance += (deviation*(logTime(latency)-m.slowMean) - m.covariance) * gain
	m.workVariance += (deviation*deviation - m.workVariance) * gain
	m.meanWork += deviation * gain
	m.mean += (normalized - m.mean) / float64(min(m.count, meanCount))
	if m.slowMean += (normalized - m.slowMean) * gain; m.count < meanCount || m.slowMean < m.baseline {
		m.baseline = m.slowMean
	}
	if !limited { // else queueing in a full tier would raise the baseline, and then the limit
		m.baseline += (1 - decay(now-m.updatedAt, baselineTime)) * (m.slowMean - m.baseline)
	}
	m.updatedAt = now
}

// slope is how much of a difference in work shows in the latency, both as logarithms, from 0 to 1. It is 1
// until answers show otherwise.
func (m *latencyModel) slope() float64 {
	return max(0, min(1, (m.covariance+slopePrior)/(m.workVariance+slopePrior)))
}

// normalized returns the logarithm of the latency that an attempt would have had with the usual work.
func (m *latencyModel) normalized(work float64, latency time.Duration) float64 {
	return logTime(latency) - m.slope()*(math.Log(work)-m.meanWork)
}

// logTime returns the logarithm of d in seconds, with d at least a millisecond.
func logTime(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }

// expected returns the latency that an attempt with that much work has lately; 0 if none was served yet.
func (m *latencyModel) expected(work float64) time.Duration {
	if m.count == 0 {
		return 0
	}
	return time.Duration(math.Exp(m.mean+m.slope()*(math.Log(work)-m.meanWork)) * float64(time.Second))
}
