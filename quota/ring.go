package quota

import (
	"math"
	"time"
)

// ring is a circular buffer of one sum for each of the most recent slots. Slot numbers may be
// negative.
type ring struct {
	sums   [slots]float64
	newest int64 // number of the newest slot
	// initialized is set once newest is valid.
	initialized bool
}

// advance makes slot the newest one and drops those that no longer fit. An older slot changes
// nothing.
func (r *ring) advance(slot int64) {
	if !r.initialized {
		r.newest, r.initialized = slot, true
		return
	}
	if slot-r.newest >= slots {
		r.sums, r.newest = [slots]float64{}, slot
		return
	}
	for r.newest < slot {
		r.newest++
		r.sums[ringIndex(r.newest)] = 0
	}
}

// ringIndex returns the position of a slot in the buffer.
func ringIndex(slot int64) int64 { return (slot%slots + slots) % slots }

// contains reports whether the ring covers a slot.
func (r *ring) contains(slot int64) bool { return slot <= r.newest && r.newest-slot < slots }

// add adds n to the sum of a slot, or does nothing if the ring does not contain the slot.
func (r *ring) add(slot int64, n float64) {
	if r.contains(slot) {
		r.sums[ringIndex(slot)] += n
	}
}

// at returns the sum of a slot, 0 if the ring does not contain it.
func (r *ring) at(slot int64) float64 {
	if !r.contains(slot) {
		return 0
	}
	return r.sums[ringIndex(slot)]
}

// demandTimeConstant is the time in which past demand decays to 1/e.
const demandTimeConstant = time.Second

// Demand is an exponentially decaying average of the rate at which units are requested. Its
// zero value is a rate of 0.
type Demand struct {
	sum       float64
	updatedAt time.Time
}

// Add records requested units.
func (d *Demand) Add(now time.Time, units float64) {
	d.sum = d.Rate(now)*demandTimeConstant.Seconds() + units
	d.updatedAt = now
}

// Rate returns the average as of now, in units a second.
func (d *Demand) Rate(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/demandTimeConstant.Seconds()) / demandTimeConstant.Seconds()
}
