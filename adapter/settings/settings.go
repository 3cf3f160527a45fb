// Package settings reads and validates the INI settings of an entry instance.
package settings

import (
	"strings"
	"time"
)

// Settings are read when a process starts and do not change until it ends. The configuration that can change while the
// process runs is in the document.
type Settings struct {
	Instance Instance `ini:"instance"`
	Platform Platform `ini:"platform"`
	Servers  Servers  `ini:"servers"`
	Clients  Clients  `ini:"callers"`
	Session  Session  `ini:"session"`
	Limits   Limits   `ini:"limits"`
	Console  Console  `ini:"console"`
	Log      Log      `ini:"log"`
}

// Instance contains the location of the instance and the addresses on which it listens.
type Instance struct {
	DataCentre   string `ini:"data_centre" validate:"required,name"`
	ClientListen string `ini:"caller_listen" validate:"required,ip_port"`
	PeerListen   string `ini:"peer_listen" validate:"required,ip_port"`
	AdminListen  string `ini:"admin_listen" validate:"required,ip_port"`
	// PeerAdvertise is the address at which other instances reach PeerListen; empty means PeerListen itself.
	PeerAdvertise string `ini:"peer_advertise" validate:"omitempty,ip_port"`
	// Seeds are addresses of other instances, separated by commas. A starting instance fetches the document from them if the
	// store is down.
	Seeds string `ini:"seeds" validate:"ip_ports"`
	// AdminConnections limits the connections to AdminListen.
	AdminConnections int `ini:"admin_connections" validate:"min=1,max=100000"`
	// Profile enables the profiles of the Go runtime on AdminListen.
	Profile string `ini:"profile" validate:"oneof=off on"`
}

// Platform contains the URL of the platform's store.
type Platform struct {
	StoreURL string `ini:"store_url" validate:"required,url"`
}

// Servers contains the login at the database servers and the time-outs of connections to them.
type Servers struct {
	User     string `ini:"user" validate:"required,max=63"`
	Password string `ini:"password" validate:"required,max=1000" secret:"true"`
	// ConnectMS bounds the time to open a connection.
	ConnectMS int `ini:"connect_ms" validate:"min=50,max=60000"`
	// WaitMS bounds the time that a client waits for a connection or a primary.
	WaitMS int `ini:"wait_ms" validate:"min=100,max=120000"`
}

// Clients contains the limits on clients and the TLS certificate that they are shown.
type Clients struct {
	MaxConnections int `ini:"max_connections" validate:"min=1,max=1000000"`
	StartUpMS      int `ini:"start_up_ms" validate:"min=100,max=60000"`
	MessageBytes   int `ini:"message_bytes" validate:"min=1024,max=67108864"`
	IdleDrainMS    int `ini:"idle_drain_ms" validate:"min=100,max=3600000"`
	// MemoryMB is the memory that is divided among the clients, the servers' connections and the program.
	MemoryMB int `ini:"memory_mb" validate:"min=32,max=1000000"`
	// MessageMS bounds the time from the first to the last byte of a batch of messages, and WriteMS that in which a client
	// accepts part of a response.
	MessageMS int `ini:"message_ms" validate:"min=100,max=3600000"`
	WriteMS   int `ini:"write_ms" validate:"min=100,max=3600000"`
	// IdleTransactionMS bounds the time for which a transaction may be idle.
	IdleTransactionMS int    `ini:"idle_transaction_ms" validate:"min=100,max=86400000"`
	TLSCertificate    string `ini:"tls_certificate" validate:"required_with=TLSKey"`
	TLSKey            string `ini:"tls_key" validate:"required_with=TLSCertificate"`
}

// Session contains the secret with which session tokens are signed. All instances of a fleet share it.
type Session struct {
	TokenSecret string `ini:"token_secret" validate:"required,min=32,max=1000" secret:"true"`
}

// Limits selects how rates and connections are divided among the instances of a fleet.
type Limits struct {
	Policy string `ini:"policy" validate:"oneof=demand static none"`
	// InstanceCount is the number of instances among which the static policy divides a limit.
	InstanceCount int `ini:"holders" validate:"min=1,max=100000"`
}

// Console contains the operators' login.
type Console struct {
	// PasswordSHA256 is the hash of the operators' password; if it is empty, no operator can sign in.
	PasswordSHA256 string `ini:"password_sha256" validate:"omitempty,len=64,hexadecimal" secret:"true"`
}

// Log contains the level and the format of the log.
type Log struct {
	Level  string `ini:"level" validate:"oneof=debug info warn error"`
	Format string `ini:"format" validate:"oneof=text json"`
}

// Default returns the default settings. The data centre, the store, the password for the servers and the token secret
// have no sensible default and are empty.
func Default() Settings {
	return Settings{
		Instance: Instance{
			ClientListen: "127.0.0.1:6432",
			PeerListen:   "127.0.0.1:6433",
			AdminListen:  "127.0.0.1:6434",
			Profile:      "off",

			AdminConnections: 64,
		},
		Servers: Servers{User: "rhubarbwick", ConnectMS: 3000, WaitMS: 15000},
		Clients: Clients{
			MaxConnections: 10000,
			StartUpMS:      10000,
			MessageBytes:   1 << 20,
			IdleDrainMS:    60000,

			MemoryMB:          2048,
			MessageMS:         30000,
			WriteMS:           60000,
			IdleTransactionMS: 300000,
		},
		Limits: Limits{Policy: "demand", InstanceCount: 16},
		Log:    Log{Level: "info", Format: "text"},
	}
}

// SeedList returns the addresses in Seeds.
func (i Instance) SeedList() []string {
	return strings.FieldsFunc(i.Seeds, func(r rune) bool { return r == ',' || r == ' ' })
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
