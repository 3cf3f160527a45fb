// Package settings reads and checks the INI settings of one entry instance.
package settings

import (
	"strings"
	"time"
)

// Settings are what a process learns at its start and keeps until its end. Everything that can change while
// the process runs is in the document instead.
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

// Instance says where the instance is and where it listens.
type Instance struct {
	DataCentre   string `ini:"data_centre" validate:"required,name"`
	ClientListen string `ini:"caller_listen" validate:"required,ip_port"`
	PeerListen   string `ini:"peer_listen" validate:"required,ip_port"`
	AdminListen  string `ini:"admin_listen" validate:"required,ip_port"`
	// PeerAdvertise is the address at which other instances reach PeerListen; empty means PeerListen itself.
	PeerAdvertise string `ini:"peer_advertise" validate:"omitempty,ip_port"`
	// Seeds are addresses of other instances, separated by commas, that are asked at the start while the store is down.
	Seeds string `ini:"seeds" validate:"ip_ports"`
	// Profile serves run-time profiles on AdminListen.
	Profile string `ini:"profile" validate:"oneof=off on"`
}

// Platform says how the platform's store is reached.
type Platform struct {
	StoreURL string `ini:"store_url" validate:"required,url"`
}

// Servers holds the login of the system at the database servers.
type Servers struct {
	User     string `ini:"user" validate:"required,max=63"`
	Password string `ini:"password" validate:"required,max=1000" secret:"true"`
	// ConnectMS bounds the opening of a connection.
	ConnectMS int `ini:"connect_ms" validate:"min=50,max=60000"`
	// WaitMS bounds how long a caller waits for a connection or a primary.
	WaitMS int `ini:"wait_ms" validate:"min=100,max=120000"`
}

// Clients bounds what callers may use.
type Clients struct {
	MaxConnections int    `ini:"max_connections" validate:"min=1,max=1000000"`
	StartUpMS      int    `ini:"start_up_ms" validate:"min=100,max=60000"`
	MessageBytes   int    `ini:"message_bytes" validate:"min=1024,max=67108864"`
	IdleDrainMS    int    `ini:"idle_drain_ms" validate:"min=100,max=3600000"`
	TLSCertificate string `ini:"tls_certificate" validate:"required_with=TLSKey"`
	TLSKey         string `ini:"tls_key" validate:"required_with=TLSCertificate"`
}

// Session holds the secret with which session tokens are signed. All instances of a fleet share it.
type Session struct {
	TokenSecret string `ini:"token_secret" validate:"required,min=32,max=1000" secret:"true"`
}

// Limits chooses how rates and connections are divided over the fleet.
type Limits struct {
	Policy string `ini:"policy" validate:"oneof=demand static none"`
	// InstanceCount is the number of instances between which the static policy splits a limit.
	InstanceCount int `ini:"holders" validate:"min=1,max=100000"`
}

// Console holds the operators' login.
type Console struct {
	// PasswordSHA256 is the hash of the operators' password; empty turns the console off.
	PasswordSHA256 string `ini:"password_sha256" validate:"omitempty,len=64,hexadecimal" secret:"true"`
}

// Log says what is logged.
type Log struct {
	Level  string `ini:"level" validate:"oneof=debug info warn error"`
	Format string `ini:"format" validate:"oneof=text json"`
}

// Default returns the settings that hold where a file says nothing. They lack what has no sensible default: the
// data centre, the store, the servers' login and the token secret.
func Default() Settings {
	return Settings{
		Instance: Instance{
			ClientListen: "127.0.0.1:6432",
			PeerListen:   "127.0.0.1:6433",
			AdminListen:  "127.0.0.1:6434",
			Profile:      "off",
		},
		Servers: Servers{User: "rhubarbwick", ConnectMS: 3000, WaitMS: 15000},
		Clients: Clients{
			MaxConnections: 10000,
			StartUpMS:      10000,
			MessageBytes:   1 << 20,
			IdleDrainMS:    60000,
		},
		Limits: Limits{Policy: "demand", InstanceCount: 16},
		Log:    Log{Level: "info", Format: "text"},
	}
}

// SeedList returns the addresses in Seeds.
func (i Instance) SeedList() []string {
	return strings.FieldsFunc(i.Seeds, func(r rune) bool { return r == ',' || r == ' ' })
}

// Milliseconds converts a setting in milliseconds.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
