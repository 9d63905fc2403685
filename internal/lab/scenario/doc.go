// Package scenario reads the laboratory's scenario files. A scenario describes, in TOML, the clients, the
// instances of the broker, the servers, the network, discovery, and the faults to inject.
//
// The keys and their meaning are those of version 1 of the format and must not change. A value may be a
// range, from which package model draws with the seed of a run, so one file describes many runs. Parsing is
// strict (package tomlconfig): an unknown key is an error, and all errors of a file are reported together
// with their lines. The package contains no simulation.
//
// The engines (packages sim, real, emulation), experiments, the search of package explore, and the commands
// of dykering-lab use the package.
package scenario
