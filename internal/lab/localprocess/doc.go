// Package localprocess starts control processes and proxies on loopback addresses, as the platform does: each process has a settings
// file, and each control process a data directory. A process can be stopped, killed, frozen and restarted, with another program or
// without its data.
package localprocess
