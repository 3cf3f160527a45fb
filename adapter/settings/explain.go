package settings

import (
	"fmt"
	"strings"
)

// Explanation tells an operator what one setting does.
type Explanation struct {
	Section string
	Key     string
	// Default is the value that holds without the setting; empty when there is none.
	Default string
	// Text is one paragraph: what the setting does, its unit and range, and what happens when it is set badly.
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

// Explain returns the explanations of all settings in the order of the sections. With a prefix such as "callers" or
// "callers.start_up_ms" it returns those whose names start with it.
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

// explanations holds a paragraph for each setting, by section and key.
var explanations = map[string]string{
	"instance.data_centre": "The name of the data centre in which the instance runs: a lower-case letter, then letters, " +
		"digits, `_` and `-`, 63 characters at most. Reads prefer servers of the same data centre, and two instances of " +
		"each data centre watch the platform's store for the others. With a wrong name reads go to distant servers, and " +
		"the data centre's freshness is judged by the wrong instances.",
	"instance.caller_listen": "The IP address and port on which callers connect. Port 0 lets the system choose one. On a " +
		"loopback address only callers of the same machine reach the instance.",
	"instance.peer_listen": "The IP address and port on which other instances connect. All instances of a fleet must reach " +
		"each other here. The connection is authenticated by `session.token_secret` and not encrypted, so it belongs on " +
		"an inner network.",
	"instance.admin_listen": "The IP address and port for operators: the console at `/console/`, the commands, the metrics " +
		"at `/metrics`, and `/live` and `/ready` for the platform's balancer. On a public address everybody reaches the " +
		"sign-in.",
	"instance.peer_advertise": "The IP address and port at which other instances reach `peer_listen`, when it differs, as " +
		"behind address translation. Empty means `peer_listen` itself. When it is wrong, the others cannot ask this " +
		"instance, and changes reach its data centre late.",
	"instance.seeds": "IP addresses and ports of other instances, separated by commas. They are asked for the configuration " +
		"when an instance starts while the platform's store is down. Without seeds such an instance is not ready before the " +
		"store answers.",
	"instance.profile": "`on` serves the run-time's profiles at `/debug/pprof/` of `admin_listen`, without a sign-in, and samples " +
		"blocked time; `off` does not. Profiles show function names and no data of callers. A profile that is being taken " +
		"slows the instance down.",
	"platform.store_url": "The URL of the platform's object store, such as `http://10.0.0.1:7000`. With a wrong one the " +
		"instance never becomes ready.",
	"servers.user": "The user with which the system logs in at the database servers, 63 bytes at most. It is the system's " +
		"own login; callers' keys never reach a server.",
	"servers.password": "The password of that user, 1,000 bytes at most. When it is wrong no server answers, and requests " +
		"are refused with `no_primary`. It is never printed.",
	"servers.connect_ms": "How long the opening of a connection to a server may take, in milliseconds from 50 to 60,000. Too " +
		"low: slow servers are never reached. Too high: callers wait behind a dead server.",
	"servers.wait_ms": "How long a caller waits for a free server connection, in milliseconds from 100 to 120,000. Too low: " +
		"short peaks are refused with `no_connection`. Too high: callers hang before they are refused.",
	"callers.max_connections": "How many callers may be connected to the instance at once, from 1 to 1,000,000. Each idle " +
		"caller takes some tens of kilobytes (docs/CAPACITY.md). Too low: callers are refused with `no_connection`. Too " +
		"high: the instance can run out of memory.",
	"callers.start_up_ms": "How long a caller may take from connecting to being logged in, in milliseconds from 100 to " +
		"60,000. Too low: distant callers fail. Too high: silent connections hold places.",
	"callers.message_bytes": "The greatest message that a caller may send, in bytes from 1,024 to 67,108,864. Too low: large " +
		"statements are refused with `too_large`. Too high: a few callers can use much memory.",
	"callers.idle_drain_ms": "How long a transaction without a running statement may hold up a planned stop, in milliseconds " +
		"from 100 to 3,600,000. Then it is ended and rolled back. Too low: slow transactions are cut off. Too high: stops " +
		"take long.",
	"callers.tls_certificate": "The file with the certificate that is shown to callers, in PEM form. With a certificate the " +
		"instance accepts encrypted connections only. Without one keys travel in readable form, which is acceptable only " +
		"behind something that encrypts.",
	"callers.tls_key": "The file with the certificate's private key, in PEM form. Certificate and key are set together.",
	"session.token_secret": "The secret of the fleet, 32 to 1,000 bytes, the same at all instances. Session tokens are signed " +
		"with it, and instances know each other by it. An instance with another secret refuses the others' tokens and is " +
		"refused by them. To change it, replace all instances; tokens issued before are then refused with `bad_token`. It " +
		"is never printed.",
	"limits.policy": "How rates and connections are divided over the fleet. `demand` lets shares follow the callers. `static` " +
		"gives each of `holders` instances an equal part, so the part of a quiet instance is wasted. `none` lets every " +
		"instance give the whole rate, so a fleet of 16 gives 16 times as much; it is meant for one instance alone.",
	"limits.holders": "The number of instances between which `static` divides, from 1 to 100,000. Other policies ignore it. " +
		"Too low: the fleet gives more than the rate. Too high: it gives less.",
	"console.password_sha256": "The SHA-256 of the operators' password as 64 hexadecimal digits, as printed by " +
		"`printf %s PASSWORD | sha256sum`. Empty refuses every operator. A new password ends all sign-ins. It is never printed.",
	"log.level": "What is logged: `debug`, `info`, `warn` or `error`, each with what follows it. `debug` is large. `error` " +
		"hides why an instance found no fresh configuration.",
	"log.format": "`text` for people, `json` for collectors: one line for each record in both.",
}
