package dataplane

import "sync"

// promptSizes are the mean sizes of the prompts that were lately seen, by service.
type promptSizes struct {
	mu    sync.Mutex
	means map[string]promptMean
}

type promptMean struct {
	mean  float64
	count int
}

const (
	// meanOver is how many prompts the mean is taken over.
	meanOver = 64
	// leastPrompts is how many must have been seen for a mean to say anything.
	leastPrompts = 8
	// shortShare is the part of the mean below which a prompt is short.
	shortShare = 0.5
	// largeShare is the multiple of the mean above which it is large.
	largeShare   = 2
	mostServices = 1024
)

// promptSize is how long a prompt is beside the others of its service.
type promptSize int

// The sizes.
const (
	middlingPrompt promptSize = iota // also where too little is known
	shortPrompt
	largePrompt
)

// note counts a prompt, and tells how long it is.
func (s *promptSizes) note(service string, tokens float64) promptSize {
	if tokens <= 0 {
		return middlingPrompt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil || len(s.means) > mostServices {
		s.means = map[string]promptMean{}
	}
	m := s.means[service]
	m.count = min(m.count+1, meanOver)
	m.mean += (tokens - m.mean) / float64(m.count)
	s.means[service] = m
	switch {
	case m.count < leastPrompts:
		return middlingPrompt
	case tokens < shortShare*m.mean:
		return shortPrompt
	case tokens > largeShare*m.mean:
		return largePrompt
	}
	return middlingPrompt
}
