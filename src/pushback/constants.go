package pushback

import "time"

const (
	// mostRest bounds the rest that a server gets at its word: longer than an overload lasts, so that a number without sense takes
	// a server out for minutes and not for good.
	mostRest = 10 * time.Minute
	// trialFor is for how long the answers of the requests that try a server after its rest are waited for before others may
	// try: four times what a busy engine takes to the head of an answer.
	trialFor = time.Second
	// answerSoon is when a server that returns is to be judged again: a quick service answers by then.
	answerSoon = 20 * time.Millisecond
	// returnMost is how many requests at once show that a server has returned: the slots of the largest engines seen. Without
	// the steps to it a box sends all that waited when the rest ends.
	returnMost = 64
	// restKept is how long after its end a rest is remembered when nothing is sent to the server.
	restKept = time.Minute
	// departureKept is how long a word of a life that left is kept after the server was last listed: servers were seen to
	// serve on for many seconds, and lists of other boxes lag by a second or two.
	departureKept = time.Minute
	// permitLife is for how long a permit is good after its begin: it covers a new connection and a pause of the scheduler of threads.
	// What is used later than that would add to the permits of the window after it.
	permitLife = 250 * time.Millisecond
	// liftFor is for how long a limit rises after its end, twofold with each liftStep, until it is forgotten.
	liftFor  = 6 * time.Second
	liftStep = time.Second
	// wantsOver is the time over which the permits that a box uses are counted, for how many it asks for at once.
	wantsOver = 50 * time.Millisecond
	// newsPart is the part of a limit under which a new one is told at once and not with the next heartbeat.
	newsPart = 0.8
	// lifeMost bounds the lives, the rests and the limits that are remembered, some 100 bytes each: seven times the servers of the largest
	// fleet that is built for.
	lifeMost = 4096
	// NotesMost bounds the leaving servers, and those with limits, that one message names, 20 to 40 bytes each: a tenth of the largest
	// fleet's.
	NotesMost = 64
)
