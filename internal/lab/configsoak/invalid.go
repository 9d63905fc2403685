package configsoak

import (
	"encoding/json"
	"math/rand/v2"
)

// invalidChange makes a valid document of the next version invalid. It returns the body, and why it is invalid.
func invalidChange(random *rand.Rand, valid document) (body []byte, why string) {
	first := &valid.Routes[0]
	switch random.IntN(8) {
	case 0:
		first.Service, why = "unknown", "a route names an unknown service"
	case 1:
		again := *first
		again.Name = "again"
		valid.Routes, why = append(valid.Routes, again), "two routes share host and prefix"
	case 2:
		first.Service, first.TrafficSplit = "", []share{{Service: serviceNames[0]}, {Service: serviceNames[1]}}
		why = "the weights of a route sum to 0"
	case 3:
		first.TimeoutMs, why = 0, "a timeout_ms is 0"
	case 4:
		valid.Version, why = 0, "the version is not above the current one"
	case 5:
		first.Service, first.TrafficSplit = "", []share{{Service: serviceNames[0], Weight: 1}, {Service: "unknown", Weight: 1}}
		why = "a part of a route's traffic names an unknown service"
	case 6:
		first.Service, first.TrafficSplit = "unknown", []share{{Service: serviceNames[0], Weight: 1}}
		why = "a route names an unknown service beside its traffic split"
	default:
		text := mustMarshal(valid)
		return text[:len(text)-1-random.IntN(len(text)/2)], "it cannot be read whole"
	}
	return mustMarshal(valid), why
}

// mustMarshal encodes a body of this package, whose types can always be encoded.
func mustMarshal(body any) []byte {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text
}
