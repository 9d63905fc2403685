// Package scenario reads the laboratory's scenario files: clients, instances of the broker, servers, the
// network, discovery, and faults to inject, as TOML.
//
// Keys and their meaning are those of version 1 of the format and stay. Values that are ranges are drawn
// from a seed by package model, so that one file describes many runs. Parsing is strict (package tomlconfig):
// unknown keys are faults, and all faults of a file are reported together with their lines. The package
// draws work and ranges but simulates nothing.
//
// Its callers are the engines (packages sim, real, emulation), experiments, the search of package explore,
// and the commands of dykering-lab.
package scenario
