package trial

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Variant is one of the builds that are compared.
type Variant struct {
	Name string // name of its results folder; results of a base build serve several comparisons
	Tree string // folder with its sources, in which the benchmark runs
}

// Spec describes a trial: the builds and the days that they play.
type Spec struct {
	Bench    string // program of the benchmark
	Variants []Variant
	Sites    []string // site files
	Days     []string // names of days; empty for all days of each site file
	Seeds    []uint64
	Small    bool   // play the scaled-down versions of large days
	Results  string // folder of the results; plays with a stored result are skipped
	Parallel int    // number of concurrent plays
	Reason   string // reason for the trial, which the benchmark records
}

// Play is one day of one deployment with one seed.
type Play struct {
	Site string // path of the site file
	Day  string
	Seed uint64
}

// SiteName returns the name of the deployment, which is the base name of its site file.
func (p Play) SiteName() string { return strings.TrimSuffix(filepath.Base(p.Site), ".toml") }

// Outcome holds the reports of a play, one for each variant in order.
type Outcome struct {
	Play    Play
	Reports []*Report
}

// Plays returns the plays of a spec. Seeds are the outermost loop, so that an interrupted trial has played each day equally
// often.
func (s *Spec) Plays() ([]Play, error) {
	days := map[string][]string{}
	for _, site := range s.Sites {
		names, err := daysOf(site, s.Days)
		if err != nil {
			return nil, err
		}
		days[site] = names
	}
	var plays []Play
	for _, seed := range s.Seeds {
		for _, site := range s.Sites {
			for _, day := range days[site] {
				plays = append(plays, Play{Site: site, Day: day, Seed: seed})
			}
		}
	}
	return plays, nil
}

// daysOf returns the requested days, or all days of a site file if none are requested.
func daysOf(site string, asked []string) ([]string, error) {
	if len(asked) > 0 {
		return asked, nil
	}
	text, err := os.ReadFile(site)
	if err != nil {
		return nil, errors.Wrap(err, "read the site file")
	}
	var file struct {
		Day []struct{ Name string }
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return nil, errors.Wrapf(err, "decode the site file %s", site)
	}
	var names []string
	for _, day := range file.Day {
		names = append(names, day.Name)
	}
	return names, nil
}

// Run plays all plays without a stored result and returns the outcomes of all plays. It calls progress after each play of a
// variant.
func Run(ctx context.Context, s *Spec, progress func(done, all int)) ([]Outcome, error) {
	plays, err := s.Plays()
	if err != nil {
		return nil, err
	}
	for _, v := range s.Variants {
		if err := os.MkdirAll(filepath.Join(s.Results, v.Name), 0o755); err != nil {
			return nil, errors.Wrap(err, "create the folder of the results")
		}
	}
	outcomes := make([]Outcome, len(plays))
	var mu sync.Mutex
	done := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(s.Parallel, 1))
	for i, play := range plays {
		outcomes[i] = Outcome{Play: play, Reports: make([]*Report, len(s.Variants))}
		for v := range s.Variants {
			group.Go(func() error {
				report, err := s.play(ctx, s.Variants[v], play)
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[i].Reports[v] = report
				done++
				progress(done, len(plays)*len(s.Variants))
				return nil
			})
		}
	}
	return outcomes, errors.Wrap(group.Wait(), "play the trial")
}

// resultPath returns the path of the stored result of a play.
func (s *Spec) resultPath(v Variant, play Play) string {
	size := ""
	if s.Small {
		size = "-small"
	}
	return filepath.Join(s.Results, v.Name, fmt.Sprintf("%s%s-%s-%d.json", play.SiteName(), size, play.Day, play.Seed))
}

// play plays a day with one variant, or reads its stored result.
func (s *Spec) play(ctx context.Context, v Variant, play Play) (*Report, error) {
	path := s.resultPath(v, play)
	if report, err := readReport(path); err == nil {
		return report, nil
	}
	folder, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
	}
	defer os.RemoveAll(folder)
	written := filepath.Join(folder, "report.json")
	if err := s.bench(ctx, v, play, written); err != nil {
		return nil, err
	}
	report, err := readReport(written)
	if err != nil {
		return nil, err
	}
	return report, report.write(path)
}

// bench runs the benchmark once. It does not count processor time, which concurrent plays would distort.
func (s *Spec) bench(ctx context.Context, v Variant, play Play, report string) error {
	bench, err := filepath.Abs(s.Bench)
	if err != nil {
		return errors.Wrap(err, "absolute path of the benchmark")
	}
	site, err := filepath.Abs(play.Site)
	if err != nil {
		return errors.Wrap(err, "absolute path of the site file")
	}
	args := []string{"run", site, play.Day, "--seed", fmt.Sprint(play.Seed), "--no-cpu", "--jobs", "1", "--report", report, "--why", s.Reason}
	if s.Small {
		args = append(args, "--small")
	}
	command := exec.CommandContext(ctx, bench, args...)
	command.Dir = v.Tree
	output, err := command.CombinedOutput()
	if _, missing := os.Stat(report); missing == nil {
		return nil // the benchmark also exits with an error if the day misses its gate; the report says so
	}
	return errors.Wrapf(err, "%s of %s, seed %d, %s: %s", play.Day, play.SiteName(), play.Seed, v.Name, lastLine(output))
}

func lastLine(output []byte) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return lines[len(lines)-1]
}
