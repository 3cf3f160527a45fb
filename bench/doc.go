// Package bench tests and measures the product as separate processes. Both binaries are built once, and each test starts
// a stand-in platform, two groups of three stand-in servers, and four entry instances on the loopback interface.
package bench
