// Package untrusted contains tests in which clients that misbehave meet separate processes of the product: the gateway
// with the line protocol and the serve command with the PostgreSQL protocol. The tests check that the process stays
// alive, that its memory and its descriptors stay under a bound, and that an ordinary client is still served.
package untrusted
