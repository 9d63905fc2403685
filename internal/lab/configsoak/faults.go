package configsoak

import (
	"math/rand/v2"
	"time"

	"dykering/internal/controlplane"
	"dykering/internal/lab/pause"
)

const (
	maxStorm         = 12 * time.Second
	minStorm         = 2 * time.Second
	maxFaultPause    = 1500 * time.Millisecond
	maxDowntime      = 800 * time.Millisecond
	maxShortFreeze   = 2 * time.Second
	maxLongFreeze    = 14 * time.Second
	maxAbsence       = 8 * time.Second
	statusPoll       = 50 * time.Millisecond
	maxCatchUpWait   = 8 * time.Second
	maxStartDelay    = 100 * time.Millisecond
	proxiesPerLane   = 3
	replacementsEach = coreSize // a turnover replaces the whole core
)

// playStorms alternates storms of faults with calm times until the run ends.
func (r *run) playStorms() error {
	random := r.newRandom(stormStream)
	for !r.isOver() {
		storm := make(chan struct{})
		lanes := r.startLanes(storm, random.Uint64())
		pause.For(r.ended, minStorm+draw(random, maxStorm-minStorm))
		close(storm)
		if err := lanes(); err != nil {
			return err
		}
		pause.For(r.ended, r.calm())
		for _, m := range append(r.coreMachines(), r.proxies...) {
			if err := m.checkRunning(); err != nil {
				return err
			}
		}
	}
	return nil
}

// playFinalFault kills all processes right after a change was acknowledged, and one machine of the core loses its disk.
func (r *run) playFinalFault() error {
	random := r.newRandom(finalStream)
	r.awaitWholeChain()
	r.operators[0].change(r.cancelled)
	all := append(r.coreMachines(), r.proxies...)
	for _, m := range all {
		m.kill()
	}
	if err := all[random.IntN(coreSize)].loseDisk(); err != nil {
		return err
	}
	for _, m := range all {
		pause.For(r.cancelled, draw(random, maxStartDelay))
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// startLanes starts the goroutines that inject faults until the storm is over. The result waits for them.
func (r *run) startLanes(storm <-chan struct{}, seed uint64) (wait func() error) {
	var lanes []func(*rand.Rand) error
	for i := range (len(r.proxies) + proxiesPerLane - 1) / proxiesPerLane {
		own := r.proxies[i*proxiesPerLane : min((i+1)*proxiesPerLane, len(r.proxies))]
		lanes = append(lanes, func(random *rand.Rand) error { return r.disruptProxies(storm, random, own) })
	}
	lanes = append(lanes, func(random *rand.Rand) error { return r.disruptCore(storm, random) })
	results := make(chan error, len(lanes))
	for i, lane := range lanes {
		go func() { results <- lane(rand.New(rand.NewPCG(seed, uint64(i)))) }()
	}
	return func() error {
		var failure error
		for range lanes {
			if err := <-results; err != nil {
				failure = err
			}
		}
		return failure
	}
}

// disruptProxies injects faults into some proxies, one at a time.
func (r *run) disruptProxies(storm <-chan struct{}, random *rand.Rand, own []*machine) error {
	for pause.For(storm, draw(random, maxFaultPause)) {
		if err := r.disruptProxy(own[random.IntN(len(own))], random); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) disruptProxy(m *machine, random *rand.Rand) error {
	downtime := draw(random, maxDowntime)
	switch random.IntN(7) {
	case 0, 1:
		m.stop(random)
	case 2:
		m.kill()
	case 3: // it leaves for some time
		m.stop(random)
		downtime = draw(random, maxAbsence)
	case 4:
		m.freeze(draw(random, maxShortFreeze))
		return nil
	case 5:
		m.freeze(draw(random, maxLongFreeze))
		return nil
	default:
		m.hangUp(random)
		return nil
	}
	pause.For(r.cancelled, downtime)
	return m.start()
}

// disruptCore injects faults into the core.
func (r *run) disruptCore(storm <-chan struct{}, random *rand.Rand) error {
	for pause.For(storm, draw(random, maxFaultPause)) {
		if err := r.disruptCoreOnce(storm, random); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) disruptCoreOnce(storm <-chan struct{}, random *rand.Rand) error {
	core := r.coreMachines()
	m := core[random.IntN(len(core))]
	switch random.IntN(9) {
	case 0:
		m.stop(random)
		pause.For(r.cancelled, draw(random, maxDowntime))
		return m.start()
	case 1:
		m.kill()
		pause.For(r.cancelled, draw(random, maxAbsence))
		return m.start()
	case 2:
		m.freeze(draw(random, maxShortFreeze))
	case 3:
		m.freeze(draw(random, maxAbsence))
	case 4:
		return r.killCore(random)
	case 5, 6:
		return r.emptyDisk(m, random)
	case 7:
		m.hangUp(random)
	default:
		return r.turnOver(storm, random)
	}
	return nil
}

// killCore kills all machines of the core at once.
func (r *run) killCore(random *rand.Rand) error {
	core := r.coreMachines()
	for _, m := range core {
		m.kill()
	}
	pause.For(r.cancelled, draw(random, maxDowntime))
	for _, m := range core {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// emptyDisk restarts a machine of the core without its disk, once the whole core is in the chain.
func (r *run) emptyDisk(m *machine, random *rand.Rand) error {
	if !r.awaitWholeChain() {
		return nil
	}
	if random.IntN(2) == 0 {
		m.stop(random)
	} else {
		m.kill()
	}
	if err := m.loseDisk(); err != nil {
		return err
	}
	pause.For(r.cancelled, draw(random, maxDowntime))
	if err := m.start(); err != nil {
		return err
	}
	r.awaitWholeChain()
	return nil
}

// turnOver replaces machines of the core by empty ones at other addresses, one after another.
func (r *run) turnOver(storm <-chan struct{}, random *rand.Rand) error {
	for range 1 + random.IntN(replacementsEach) {
		if !r.awaitWholeChain() {
			return nil
		}
		if err := r.replace(random); err != nil {
			return err
		}
		if !pause.For(storm, draw(random, maxFaultPause)) {
			break
		}
	}
	r.awaitWholeChain()
	return nil
}

// replace removes a machine of the core for good and adds an empty one. The settings of all processes get the new seeds.
func (r *run) replace(random *rand.Rand) error {
	old, successor := r.takeReplacement(random.IntN(coreSize))
	switch random.IntN(3) {
	case 0:
		old.stop(random)
		old.record(machineRemoved)
	case 1:
		old.kill()
		old.record(machineRemoved)
	default:
		old.vanish()
	}
	if err := r.changeSeeds(random); err != nil {
		return err
	}
	pause.For(r.cancelled, draw(random, maxDowntime))
	return successor.startEmpty()
}

// changeSeeds writes the addresses of the core into the settings of all processes, some of which are told.
func (r *run) changeSeeds(random *rand.Rand) error {
	var seeds []string
	for _, m := range r.coreMachines() {
		seeds = append(seeds, m.process.Public)
	}
	for _, m := range r.machines {
		if err := m.setSeeds(seeds, random.IntN(2) == 0); err != nil {
			return err
		}
	}
	return nil
}

// awaitWholeChain waits until every machine of the core is in the chain of a confirmed view. It returns false if that takes too long.
func (r *run) awaitWholeChain() bool {
	for began := time.Now(); time.Since(began) < maxCatchUpWait; {
		if r.isChainWhole() {
			return true
		}
		if !pause.For(r.cancelled, statusPoll) {
			return false
		}
	}
	return false
}

func (r *run) isChainWhole() bool {
	for _, m := range r.coreMachines() {
		status, err := controlplane.AskStatus(m.process.InternalAddress())
		if err != nil || !status.InForce || len(status.View.Chain) != coreSize || len(status.View.Voters) != coreSize {
			return false
		}
	}
	return true
}
