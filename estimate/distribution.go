package estimate

import (
	"math"
	"time"
)

const (
	// binsPerOctave is the number of histogram bins for each factor of two. The width
	// of a bin is then about a fifth of its middle value, and every value in it is
	// within a tenth of the middle.
	binsPerOctave = 4
	// octaves is the number of factors of two below and above 1 that the histogram
	// covers. Values outside count in the first or last bin.
	octaves = 10
	bins    = 2*octaves*binsPerOctave + 1
	// decay is the factor by which the weight of earlier samples shrinks with each new
	// sample. The last two hundred or so samples count, so that the histogram adapts to
	// a new mix of requests within a few hundred.
	decay = 0.995
	// minDistributionSamples is the number of samples needed before a distribution is
	// used. Even the 0.1 quantile is then determined by two or three samples.
	minDistributionSamples = 24
)

// distribution is a histogram of a positive quantity with logarithmic bins and
// exponential decay. The caller chooses the unit. The zero value has no samples. It is
// not safe for concurrent use.
type distribution struct {
	bins    [bins]float64
	weight  float64
	samples int
	at      time.Time
}

func (d *distribution) add(now time.Time, v float64) {
	for i := range d.bins {
		d.bins[i] *= decay
	}
	d.weight = d.weight*decay + 1
	d.bins[binIndex(v)]++
	d.samples++
	d.at = now
}

func binIndex(v float64) int {
	i := int(math.Round((math.Log2(v) + octaves) * binsPerOctave))
	return min(max(i, 0), bins-1)
}

// binValue returns the middle of a bin on the logarithmic scale.
func binValue(bin int) float64 { return math.Exp2(float64(bin)/binsPerOctave - octaves) }

// quantile returns the middle of the bin that contains the quantile q (0 to 1).
func (d *distribution) quantile(q float64) float64 {
	sum := 0.0
	for i, w := range d.bins {
		sum += w
		if sum >= q*d.weight && sum > 0 {
			return binValue(i)
		}
	}
	return binValue(bins - 1)
}

func (d *distribution) mean() float64 {
	sum := 0.0
	for i, w := range d.bins {
		sum += w * binValue(i)
	}
	return sum / d.weight
}
