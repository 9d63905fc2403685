package dataplane

import "sync"

// How the size of a prompt is judged, against the mean of its service. Measured on R, docs/DECISIONS.md, "Rounds": ranks for
// short prompts gain 0.023 of worth, those for large ones 0.008.
const (
	// shortPromptFraction is the part of the mean below which a prompt is short. Half or double: not measured.
	shortPromptFraction = 0.5
	// largePromptMultiple is the multiple of the mean above which it is large. Half or double: not measured.
	largePromptMultiple = 2
	// promptMeanWindow is how many prompts the moving mean is taken over. Half or double: not measured.
	promptMeanWindow = 64
	// minPromptsForMean is how many must have been seen before prompts are told apart.
	minPromptsForMean = 8
	// maxPromptServices bounds the services that are remembered.
	maxPromptServices = 1024
)

// promptSize is how long a prompt is against the others of its service.
type promptSize int

// The sizes.
const (
	mediumPrompt promptSize = iota // also where too little is known
	shortPrompt
	largePrompt
)

// promptSizes has the moving mean of the prompts' sizes, by service.
type promptSizes struct {
	mu    sync.Mutex
	means map[string]promptMean
}

type promptMean struct {
	tokens float64
	count  int // of prompts, up to promptMeanWindow
}

// observe takes the size of a prompt, in tokens, and classifies it.
func (s *promptSizes) observe(service string, tokens float64) promptSize {
	if tokens <= 0 {
		return mediumPrompt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil || len(s.means) > maxPromptServices {
		s.means = map[string]promptMean{}
	}
	mean := s.means[service]
	mean.count = min(mean.count+1, promptMeanWindow)
	mean.tokens += (tokens - mean.tokens) / float64(mean.count)
	s.means[service] = mean
	switch {
	case mean.count < minPromptsForMean:
		return mediumPrompt
	case tokens < shortPromptFraction*mean.tokens:
		return shortPrompt
	case tokens > largePromptMultiple*mean.tokens:
		return largePrompt
	}
	return mediumPrompt
}

// The bands of priorities at an endpoint, by the size of the prompt; 0 is the most urgent.
const (
	lastShortPriority  = 2
	lastLargePriority  = 5
	lastMediumPriority = 9
)

// priority is a request's priority at an endpoint. Short prompts come first: they delay long ones by little and would wait
// long behind them. Large ones come next: reading them leaves them no time to wait. Within a band the route's priority counts.
func (req *request) priority() int {
	switch req.promptSize {
	case shortPrompt:
		return min(routePriority(req.route), lastShortPriority)
	case largePrompt:
		return min(lastShortPriority+1+routePriority(req.route), lastLargePriority)
	}
	return min(lastLargePriority+1+routePriority(req.route), lastMediumPriority)
}
