package settings

import (
	"fmt"
	"strings"
)

// Explanation describes a setting for operators.
type Explanation struct {
	Section string
	Key     string
	// Default is the default value; empty if there is none.
	Default string
	// Text is a paragraph on the effect of the setting, its unit and range, and the consequences of an unsuitable value.
	Text string
}

// Name returns the section and the key, such as callers.start_up_ms.
func (e Explanation) Name() string { return e.Section + "." + e.Key }

// String returns the explanation as Markdown.
func (e Explanation) String() string {
	value := "no default"
	if e.Default != "" {
		value = "default `" + e.Default + "`"
	}
	return fmt.Sprintf("### `[%s] %s`\n\n%s.\n\n%s\n", e.Section, e.Key, strings.ToUpper(value[:1])+value[1:], e.Text)
}

// Explain returns the explanations of the settings whose names start with prefix, such as "callers" or
// "callers.start_up_ms", in the order of the sections.
func Explain(prefix string) []Explanation {
	defaults := Default()
	var found []Explanation
	for _, f := range fieldsOf(&defaults) {
		e := Explanation{Section: f.section, Key: f.key, Text: explanations[f.section+"."+f.key]}
		if !f.value.IsZero() {
			e.Default = fmt.Sprint(f.value.Interface())
		}
		if strings.HasPrefix(e.Name(), prefix) {
			found = append(found, e)
		}
	}
	return found
}

// explanations maps the section and key of each setting to its paragraph. docs/settings.md contains the same text.
var explanations = map[string]string{
	"instance.data_centre": "The name of the data centre in which the instance runs: a lower-case letter, then letters, " +
		"digits, `_` and `-`, at most 63 characters. Reads prefer servers in the same data centre, and two instances of " +
		"each data centre watch the platform's store for the others. With a wrong name, reads go to distant servers, and " +
		"the wrong instances determine the freshness of the data centre.",
	"instance.caller_listen": "The IP address and port on which clients connect. With port 0 the system chooses one. With a " +
		"loopback address, only clients on the same machine can connect.",
	"instance.peer_listen": "The IP address and port on which other instances connect. All instances of a fleet must be able " +
		"to reach each other here. Connections are authenticated with `session.token_secret` but not encrypted, so the " +
		"address must be on an internal network.",
	"instance.admin_listen": "The IP address and port for operators: the console at `/console/`, the commands, the metrics " +
		"at `/metrics`, and `/live` and `/ready` for the platform's load balancer. On a public address, anyone can reach " +
		"the sign-in page.",
	"instance.peer_advertise": "The IP address and port at which other instances reach `peer_listen`, if it differs, for " +
		"example because of address translation. Empty means `peer_listen` itself. If it is wrong, other instances cannot " +
		"call this instance, and changes reach its data centre late.",
	"instance.seeds": "IP addresses and ports of other instances, separated by commas. An instance that starts while the " +
		"platform's store is down fetches the configuration from them. Without seeds, such an instance is not ready until " +
		"the store responds.",
	"instance.admin_connections": "The maximum number of connections to `admin_listen`, from 1 to 100,000. A further " +
		"connection closes the oldest one, so that connections that are held without use do not keep a health check from " +
		"being answered. Too low: long calls of operators are cut off.",
	"instance.profile": "`on` serves the profiles of the Go runtime at `/debug/pprof/` of `admin_listen`, without a sign-in, " +
		"and enables the block and mutex profiles; `off` does not. Profiles contain function names and no client data. " +
		"Taking a profile slows the instance down.",
	"platform.store_url": "The URL of the platform's object store, such as `http://10.0.0.1:7000`. With a wrong URL, the " +
		"instance never becomes ready.",
	"servers.user": "The user name with which instances log in at the database servers, at most 63 bytes. It is the " +
		"system's own login; clients' keys are never sent to a server.",
	"servers.password": "The password of that user, at most 1,000 bytes. If it is wrong, no server accepts a connection, and " +
		"requests are rejected with `no_primary`. It is never printed.",
	"servers.connect_ms": "The time-out for opening a connection to a server, in milliseconds from 50 to 60,000. Too low: " +
		"slow servers are never reached. Too high: clients wait long for a server that has failed.",
	"servers.wait_ms": "How long a client waits for a free server connection, in milliseconds from 100 to 120,000. Too low: " +
		"requests are rejected with `no_connection` at short load peaks. Too high: clients wait long before a rejection.",
	"callers.max_connections": "The maximum number of clients that are connected to the instance at the same time, from 1 to " +
		"1,000,000. Each idle client takes some tens of kilobytes (docs/CAPACITY.md). Too low: clients are rejected with " +
		"`no_connection`. Too high: the instance can run out of memory.",
	"callers.start_up_ms": "The time-out from the connection of a client to the end of its login, in milliseconds from 100 to " +
		"60,000. Too low: distant clients fail. Too high: clients that send nothing occupy connections.",
	"callers.message_bytes": "The maximum size of a client's message, in bytes from 1,024 to 67,108,864. Too low: large " +
		"statements are rejected with `too_large`. Too high: a few clients can use much memory.",
	"callers.idle_drain_ms": "How long a transaction without a running statement may delay a planned stop, in milliseconds " +
		"from 100 to 3,600,000. It is then aborted and rolled back. Too low: slow transactions are aborted. Too high: stops " +
		"take long.",
	"callers.memory_mb": "The memory of the instance's machine or container in megabytes, from 32 to 1,000,000. Three " +
		"fifths of it are divided among the clients: places, messages, prepared statements, and a reserve for clients with an " +
		"open transaction (docs/design/client-limits.md). A client that would exceed its share is refused with `busy` or " +
		"`no_connection`. Too low: large messages are refused at load peaks. Too high: the instance can run out of memory.",
	"callers.message_ms": "How long a client may take from the first to the last byte of a batch of messages, in " +
		"milliseconds from 100 to 3,600,000. Its connection is then closed. Too low: large statements fail on slow networks. " +
		"Too high: clients that stop half-way occupy memory.",
	"callers.write_ms": "How long a client may take to accept part of a response, in milliseconds from 100 to 3,600,000. Its " +
		"connection is then closed. Too low: slow clients fail. Too high: clients that do not read occupy server connections.",
	"callers.idle_transaction_ms": "How long a transaction without a running statement may last, in milliseconds from 100 to " +
		"86,400,000. It is then rolled back and the client's connection is closed. Too low: slow transactions are aborted. " +
		"Too high: idle clients occupy server connections.",
	"callers.tls_certificate": "The file with the TLS certificate for client connections, in PEM format. With a certificate, " +
		"the instance accepts only encrypted connections. Without one, keys are sent in plain text, which is acceptable " +
		"only if something in front of the instance encrypts the connections.",
	"callers.tls_key": "The file with the certificate's private key, in PEM format. Certificate and key must be set together.",
	"session.token_secret": "The shared secret of the fleet, 32 to 1,000 bytes, the same on all instances. It signs session " +
		"tokens and authenticates the instances to each other. An instance with another secret rejects the others' tokens, " +
		"and they reject its tokens. To change it, replace all instances; tokens issued before are then rejected with " +
		"`bad_token`. It is never printed.",
	"limits.policy": "How rates and connections are divided among instances. `demand` gives each a share that follows its " +
		"clients' demand. `static` gives each of `holders` instances an equal share, so that of an idle instance is wasted. " +
		"`none` gives each the whole rate, so a fleet of 16 allows 16 times as much; it is meant for a single instance.",
	"limits.holders": "The number of instances among which `static` divides the limits, from 1 to 100,000. Other policies " +
		"ignore it. Too low: the fleet allows more than the rate. Too high: it allows less.",
	"console.password_sha256": "The SHA-256 of the operators' password as 64 hexadecimal digits, as printed by " +
		"`printf %s PASSWORD | sha256sum`. If empty, nobody can sign in. A new password ends all sessions. It is never printed.",
	"log.level": "The minimum level of log records: `debug`, `info`, `warn` or `error`. `debug` produces much output. `error` " +
		"hides the reasons why an instance has no fresh configuration.",
	"log.format": "`text` for people, `json` for log collectors. Both write one line per record.",
}
