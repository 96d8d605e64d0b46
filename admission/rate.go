package admission

import "time"

// rateMeter counts the events of the last two seconds.
type rateMeter struct {
	counts [rateBuckets]int
	bucket int64 // number of the newest bucket since the epoch
}

const (
	rateBuckets    = 8
	rateBucketTime = 250 * time.Millisecond
)

// advance drops buckets that are too old.
func (m *rateMeter) advance(now time.Time) {
	b := now.UnixNano() / int64(rateBucketTime)
	for n := 0; m.bucket < b && n < rateBuckets; n++ {
		m.bucket++
		m.counts[m.bucket%rateBuckets] = 0
	}
	m.bucket = max(m.bucket, b)
}

func (m *rateMeter) add(now time.Time) {
	m.advance(now)
	m.counts[m.bucket%rateBuckets]++
}

// perSecond returns the rate of the events.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	n := 0
	for _, c := range m.counts {
		n += c
	}
	return float64(n) / (rateBuckets * rateBucketTime.Seconds())
}
