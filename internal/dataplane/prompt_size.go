package dataplane

import "sync"

// The size class of a prompt depends on the mean prompt size of its service.
const (
	// shortPromptFraction is the fraction of the mean below which a prompt is short.
	shortPromptFraction = 0.5
	// largePromptMultiple is the multiple of the mean above which a prompt is large.
	largePromptMultiple = 2
	// promptMeanWindow is the number of prompts that the moving mean is taken over.
	promptMeanWindow = 64
	// minPromptsForMean is the number of prompts of a service before its prompts are classified. The mean of fewer prompts is not
	// reliable.
	minPromptsForMean = 8
	// maxPromptServices bounds the services whose mean is kept. Above it, all means are discarded.
	maxPromptServices = 1024
)

// promptSize is the size class of a prompt among the prompts of its service.
type promptSize int

// The size classes.
const (
	mediumPrompt promptSize = iota // also a prompt of unknown size, or of a service without a reliable mean
	shortPrompt
	largePrompt
)

// promptSizes keeps a moving mean of the prompt size of each service. It is safe for concurrent use.
type promptSizes struct {
	mu    sync.Mutex
	means map[string]promptMean
}

// promptMean is the moving mean of the prompt size of one service.
type promptMean struct {
	tokens float64
	count  int // prompts that were observed, up to promptMeanWindow
}

// observe adds the size of a prompt, in tokens, to the mean of its service and returns the size class of the prompt.
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

// Each size class has its own range of priorities at an endpoint. These constants are the least urgent priority of each range.
// Priority 0 is the most urgent.
const (
	lastShortPriority  = 2
	lastLargePriority  = 5
	lastMediumPriority = 9
)

// priority returns the priority of a request at an endpoint. Short prompts have the most urgent range: they delay long prompts
// only a little, but would wait long behind them. Large prompts have the next range: processing such a prompt takes so long that
// no time is left to wait. Within a range, the priority of the route decides.
func (req *request) priority() int {
	switch req.promptSize {
	case shortPrompt:
		return min(routePriority(req.route), lastShortPriority)
	case largePrompt:
		return min(lastShortPriority+1+routePriority(req.route), lastLargePriority)
	}
	return min(lastLargePriority+1+routePriority(req.route), lastMediumPriority)
}
