// Package sidecar assembles the process of `dykering run`: its resource limits, its sockets, the proxy (package http1), the
// control address (package control), the operator's file with the log settings, and the fleet membership (packages gossip,
// replication and budgets) if the operator's file enables it.
//
// The package owns the order of startup and shutdown. The proxy is the last component to start and the first to stop. The
// log is closed last. The package makes no decisions about requests. Commands dykering and dykering-lab call Main.
package sidecar
