package port

import "time"

// AskPlace asks the coordinator of a brittle server for a place there (quota.PlaceRequest), or gives one back if End is set.
type AskPlace struct {
	From        string        `msgpack:"f"`
	Pool        string        `msgpack:"p"`
	Server      string        `msgpack:"s"`
	Incarnation int64         `msgpack:"i"`
	Owner       string        `msgpack:"o"`
	Slots       int           `msgpack:"n"`
	Rejections  int           `msgpack:"r"`
	Known       time.Duration `msgpack:"k"`
	Patience    time.Duration `msgpack:"w"`
	Priority    int           `msgpack:"y"`
	Hold        time.Duration `msgpack:"h"`
	End         uint8         `msgpack:"e"` // quota.PlaceEnd
}

// Place is the answer to an AskPlace.
type Place struct {
	Granted     bool          `msgpack:"g"`
	Next        time.Duration `msgpack:"x"`           // until asking again makes sense
	Coordinator string        `msgpack:"c,omitempty"` // the box to ask, if it is another one
}
