// Package soak injects random faults into gateways that run as separate processes, and checks what clients and servers
// see. The platform and the database servers are this repository's stand-ins; each gateway reaches the store, and all
// gateways reach each server, through a TCP proxy that delays, resets or silences connections. A run is determined by its
// seed, but for the timing of the machine. See ./script/soak.
package soak
