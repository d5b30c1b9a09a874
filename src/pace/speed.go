// Package pace learns how fast each backend server of a pool works.
package pace

import "time"

// Speed is the time that work takes at a server, relative to the pool's median: 1 as usual, 2 twice as long.
type Speed struct {
	Lasting float64 // not moved by variations of up to a second
	Now     float64 // at present; Lasting if the server told nothing recently
}

// Normal is the speed of a server of which nothing is known.
var Normal = Speed{Lasting: 1, Now: 1}

// Rates are the learned rates of a pool at a server of normal speed. A zero field was not learned yet.
type Rates struct {
	TokensPerMs  float64       // prompt tokens read per millisecond
	PerRunningMs float64       // ms by which one running request delays another, at 64 slots
	EventTime    time.Duration // time between two events of a stream that runs alone
}

// Told is the load that a server reported with a response.
type Told struct {
	Running, Waiting, Slots int     // requests and places; Slots is 0 if the server reported no load
	Factor                  float64 // time that work takes on its machine at present, 1 as usual; 0 if not reported
}
