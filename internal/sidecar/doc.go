// Package sidecar assembles the one-tier program `dykering run`: its limits, its sockets, the proxy that serves on them
// (package http1), the control address (package control), the operator's file with the log, and the fleet (packages
// gossip, replication and budgets) where the operator's file enables it.
//
// It owns the order of starting and ending: what serves is started last and ended first, and the log outlives all else.
// It decides nothing about requests. Command dykering calls Main; the laboratory calls Run with configurations of its
// own.
package sidecar
