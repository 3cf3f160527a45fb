// Package bench tests and measures the product as separate processes: both binaries are built once, and each test
// starts a stand-in platform, two groups of three stand-in servers and four entry instances on loopback.
package bench
