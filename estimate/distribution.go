package estimate

import (
	"math"
	"time"
)

const (
	// binsPerOctave divides each factor of two; a bin is a fifth wide, and its middle
	// within a tenth of all in it.
	binsPerOctave = 4
	// octaves is how far below and above its unit a distribution tells values apart.
	octaves = 10
	bins    = 2*octaves*binsPerOctave + 1
	// fade is what older samples keep of their weight with each new one: the last two
	// hundred or so count, so that a new mix is followed within its first hundreds.
	fade = 0.995
	// fewestDrawn is the number of samples from which on a distribution is known: a
	// tenth of them then are two or three.
	fewestDrawn = 24
)

// distribution is the distribution of a positive quantity, in units that its user
// chooses, over the logarithm. The zero value knows nothing. It is not safe for
// concurrent use.
type distribution struct {
	bins    [bins]float64
	weight  float64
	samples int
	at      time.Time
}

func (d *distribution) add(now time.Time, v float64) {
	for i := range d.bins {
		d.bins[i] *= fade
	}
	d.weight = d.weight*fade + 1
	d.bins[binOf(v)]++
	d.samples++
	d.at = now
}

func binOf(v float64) int {
	i := int(math.Round((math.Log2(v) + octaves) * binsPerOctave))
	return min(max(i, 0), bins-1)
}

// valueOf returns the middle of a bin.
func valueOf(bin int) float64 { return math.Exp2(float64(bin)/binsPerOctave - octaves) }

// quantile returns the value under which the share q of the weight lies.
func (d *distribution) quantile(q float64) float64 {
	sum := 0.0
	for i, w := range d.bins {
		sum += w
		if sum >= q*d.weight && sum > 0 {
			return valueOf(i)
		}
	}
	return valueOf(bins - 1)
}

func (d *distribution) mean() float64 {
	sum := 0.0
	for i, w := range d.bins {
		sum += w * valueOf(i)
	}
	return sum / d.weight
}
