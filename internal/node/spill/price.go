package spill

import "github.com/gypsumrail/gypsumrail"

// Side describes what one call would meet in one zone.
type Side struct {
	Refuses bool    // thresholds refuse its level, or another call's in its place
	Wait    float64 // ms until it starts to run
}

// refusalCost is what a refusal costs the caller, in ms: the mean of the time after which
// a refused caller is told to try again.
const refusalCost = float64(gypsumrail.Second)

func (s Side) cost() float64 {
	if s.Refuses {
		return refusalCost
	}
	return min(s.Wait, refusalCost)
}

// Price is what leaving the own zone costs one call.
type Price struct {
	RoundTrip float64 // ms
	Bytes     int     // both ways
	PerKB     float64 // ms
	Below     float64 // ms that the calls below it lose by being made from the other zone
	Faults    float64 // ms that the faults of the other target cost, above those of the own
}

// Worthwhile reports whether a call gains by leaving its zone.
func Worthwhile(stay, leave Side, price Price) bool {
	return stay.cost() > leave.cost()+price.RoundTrip+price.PerKB*float64(price.Bytes)/1000+price.Below+price.Faults
}

// Wait returns how long a call waits where the load is the given multiple of the slots and
// calls take latency ms with their wait.
func Wait(utilization, latency float64) float64 {
	if utilization <= 1 {
		return 0
	}
	return latency * (1 - 1/utilization)
}

// Loss returns what a call loses, in ms, by being made where it meets there instead of here.
func Loss(here, there Side) float64 { return max(there.cost()-here.cost(), 0) }
