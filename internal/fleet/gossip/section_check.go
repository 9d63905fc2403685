package gossip

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

const (
	// maxVoters bounds the Raft group, because each further voter slows down every grant.
	maxVoters = 7
	// maxQuota bounds a quota, in requests per second.
	maxQuota = 1e9
	// minClockRate and maxClockRate bound the clock rate that the laboratory may set for a member.
	minClockRate, maxClockRate = 0.5, 2
)

// Check returns the errors in the section that the bounds in the struct tags cannot detect.
func (s *Section) Check() []validation.Error {
	var errs []validation.Error
	reject := func(key, text string) { errs = append(errs, validation.Error{Key: key, Text: text}) }
	if fault := addressFault(s.Bind, true); fault != "" {
		reject("bind", fault)
	}
	for _, seed := range s.Seeds {
		if fault := addressFault(seed, false); fault != "" {
			reject("seeds", fault)
		}
	}
	if s.Relay != "" {
		if fault := addressFault(s.Relay, false); fault != "" {
			reject("relay", fault)
		}
	}
	// The bounds in the tags already reject other values of the two settings.
	areWithinBounds := s.ProbeInterval >= tomlconfig.Duration(50*time.Millisecond) && s.ProbeTimeout <= tomlconfig.Duration(30*time.Second)
	if areWithinBounds && s.ProbeTimeout >= s.ProbeInterval {
		reject("probe_timeout", "has to be shorter than probe_interval")
	}
	errs = append(errs, s.Budgets.check()...)
	if s.Budgets.Enabled && s.Budgets.Directory == "" && s.ID != "" && slices.Contains(s.Budgets.Voters, s.ID) {
		reject("budgets.dir", "is needed by a voter")
	}
	if len(s.Seeds) > s.MaxMembers {
		reject("seeds", "are more than most")
	}
	return errs
}

// addressFault returns why a string is not a usable IPv4 address and port, or "" if it is. Port 0 stands for any port.
func addressFault(address string, allowAnyPort bool) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return strconv.Quote(address) + " is not host:port"
	}
	if ip := net.ParseIP(host); ip == nil || ip.To4() == nil {
		return strconv.Quote(address) + " is not an IPv4 address with its port"
	}
	number, err := strconv.Atoi(port)
	if err != nil || number > 65535 || number < 0 || number == 0 && !allowAnyPort {
		return strconv.Quote(address) + " has no port it can be reached at"
	}
	return ""
}

// ParseQuota parses an element of Quotas: a tenant and its quota in requests per second.
func (b *Budgets) ParseQuota(text string) (tenant string, requestsPerSecond float64, err error) {
	tenant, rate, ok := strings.Cut(text, "=")
	requestsPerSecond, parseErr := strconv.ParseFloat(rate, 64)
	if !ok || tenant == "" || parseErr != nil || !(requestsPerSecond >= 0 && requestsPerSecond <= maxQuota) {
		return "", 0, fmt.Errorf("%q is not tenant=requests a second", text)
	}
	return tenant, requestsPerSecond, nil
}

// check returns the errors in the table that the bounds in the struct tags cannot detect.
func (b *Budgets) check() (errs []validation.Error) {
	reject := func(key, text string) { errs = append(errs, validation.Error{Key: key, Text: text}) }
	for _, text := range b.Quotas {
		if _, _, err := b.ParseQuota(text); err != nil {
			reject("budgets.wholes", err.Error())
		}
	}
	if b.Enabled && len(b.Voters) == 0 {
		reject("budgets.voters", "are needed where budgets are enabled")
	}
	if len(b.Voters) > maxVoters {
		reject("budgets.voters", fmt.Sprintf("are more than %d", maxVoters))
	}
	for i, voter := range b.Voters {
		if voter == "" || slices.Contains(b.Voters[:i], voter) {
			reject("budgets.voters", fmt.Sprintf("%q is empty or named twice", voter))
		}
	}
	if !(b.RetryQuota >= 0 && b.RetryQuota <= maxQuota) {
		reject("budgets.retries", "has to be from 0 to 1000000000")
	}
	if b.ClockRate < minClockRate || b.ClockRate > maxClockRate {
		reject("budgets.clock_rate", "has to be from 0.5 to 2")
	}
	return errs
}
