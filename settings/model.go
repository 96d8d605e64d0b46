// Package settings holds the daemon's static settings: a YAML file, decoded
// strictly. What operators change while daemons run is in signed bundles
// instead; settings are read once, at the start.
//
// Every key carries its documentation, unit and default, from which the
// reference page and the output of PrintDefaults are generated. Settings hold
// names of files with secrets, never secrets.
package settings

import "time"

// Settings is the whole file. Durations are written as Go strings, such as "500ms".
type Settings struct {
	Instance Instance `yaml:"instance" doc:"this daemon"`
	Callers  Callers  `yaml:"callers" doc:"the callers' HTTP listener"`
	Peers    Peers    `yaml:"peers" doc:"the connections between daemons"`
	Admin    Admin    `yaml:"admin" doc:"the administration listener"`
	Platform Platform `yaml:"platform" doc:"the platform's services"`
	Bundle   Bundle   `yaml:"bundle" doc:"where bundle versions come from and whose signatures count"`
	Claims   Claims   `yaml:"claims" doc:"at most one run of an idempotency key"`
	Limits   Limits   `yaml:"limits" doc:"bounds on what this daemon holds"`
	Drain    Drain    `yaml:"drain" doc:"graceful shutdown"`
	Log      Log      `yaml:"log" doc:"log lines, written to standard error"`
	Policy   Policy   `yaml:"policy" doc:"the routing policy; its weights are in the bundle"`
}

// Instance names this daemon. Its incarnation is drawn anew at each start and
// cannot be set.
type Instance struct {
	Name       string `yaml:"name" validate:"omitempty,max=63,nodename" doc:"name of the instance, unique among live daemons; empty takes the host name"`
	DataCentre string `yaml:"data_centre" validate:"required,max=63,nodename" doc:"data centre the instance runs in"`
}

// Callers configures the listener that callers use.
type Callers struct {
	Listen         string        `yaml:"listen" validate:"hostport" unit:"host:port" doc:"address to listen on"`
	MaxBodyBytes   int64         `yaml:"max_body_bytes" validate:"min=1024,max=1073741824" unit:"bytes" doc:"largest request body"`
	HeaderTimeout  time.Duration `yaml:"header_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller has to send its headers"`
	BodyTimeout    time.Duration `yaml:"body_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller has to send its body"`
	WriteTimeout   time.Duration `yaml:"write_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller has to take a piece of its answer"`
	IdleTimeout    time.Duration `yaml:"idle_timeout" validate:"gt=0" unit:"duration" doc:"time after which a connection without a request is closed"`
	MaxDeadline    time.Duration `yaml:"max_deadline" validate:"gt=0" unit:"duration" doc:"longest deadline that a caller may ask for"`
	MaxConnections int           `yaml:"max_connections" validate:"min=1" unit:"connections" doc:"open connections; more wait in the kernel's queue"`
	TLS            ServerTLS     `yaml:"tls" doc:"TLS of the listener; off while cert_file is empty"`
}

// ServerTLS configures TLS of a listener. It is off when CertFile is empty.
type ServerTLS struct {
	CertFile     string `yaml:"cert_file" unit:"file" doc:"certificate chain, PEM"`
	KeyFile      string `yaml:"key_file" unit:"file" doc:"private key, PEM"`
	ClientCAFile string `yaml:"client_ca_file" unit:"file" doc:"authorities for client certificates, PEM; empty asks for none"`
}

// Peers configures the connections between daemons.
type Peers struct {
	Listen      string        `yaml:"listen" validate:"hostport" unit:"host:port" doc:"address to listen on"`
	Advertise   string        `yaml:"advertise" validate:"omitempty,hostport" unit:"host:port" doc:"address that peers connect to; empty takes the listener's"`
	Seeds       []string      `yaml:"seeds" validate:"dive,hostport" unit:"host:port" doc:"peers to ask first; others are learnt from them and from the instance list"`
	Heartbeat   time.Duration `yaml:"heartbeat" validate:"gt=0" unit:"duration" doc:"time between heartbeats"`
	DeadAfter   time.Duration `yaml:"dead_after" validate:"gt=0,gtfield=Heartbeat" unit:"duration" doc:"silence after which a peer counts as dead; more than heartbeat"`
	FrozenAfter time.Duration `yaml:"frozen_after" validate:"gt=0" unit:"duration" doc:"gap in this process's own clock ticks after which it dispatches nothing until its view is fresh"`
	TLS         PeerTLS       `yaml:"tls" doc:"mutual TLS between daemons; off while cert_file is empty"`
}

// PeerTLS configures mutual TLS between daemons. It is off when CertFile is empty.
type PeerTLS struct {
	CertFile string `yaml:"cert_file" unit:"file" doc:"certificate chain, PEM"`
	KeyFile  string `yaml:"key_file" unit:"file" doc:"private key, PEM"`
	CAFile   string `yaml:"ca_file" unit:"file" doc:"authorities for peers' certificates, PEM"`
}

// Admin configures the administration listener. It is off when Listen is empty.
type Admin struct {
	Listen    string    `yaml:"listen" validate:"omitempty,hostport" unit:"host:port" doc:"address to listen on; empty turns the listener off; without TLS it has to be a loopback address"`
	TokenFile string    `yaml:"token_file" unit:"file" doc:"file with the bearer token; needed when listen is set"`
	TLS       ServerTLS `yaml:"tls" doc:"TLS of the listener; off while cert_file is empty"`
}

// Platform configures the clients of the platform's services.
type Platform struct {
	LogURL         string        `yaml:"log_url" validate:"http_url" unit:"URL" doc:"append-only log service"`
	InstancesURL   string        `yaml:"instances_url" validate:"omitempty,http_url" unit:"URL" doc:"list of live and leaving instances; empty does without"`
	Timeout        time.Duration `yaml:"timeout" validate:"gt=0" unit:"duration" doc:"time for one call, besides the wait of a long poll"`
	InstancesEvery time.Duration `yaml:"instances_every" validate:"gt=0" unit:"duration" doc:"time between reads of the instance list"`
}

// Bundle configures where bundle versions come from.
type Bundle struct {
	Stream          string            `yaml:"stream" validate:"required,nodename" doc:"stream of the log that holds bundle records"`
	CheckpointEvery time.Duration     `yaml:"checkpoint_every" validate:"gt=0" unit:"duration" doc:"time after which the version in force is appended again; well under the log's retention"`
	Authors         map[string]string `yaml:"authors" validate:"dive,ed25519" unit:"base64 ed25519 public key" doc:"keys of those who may write bundles, by key id"`
	Reviewers       map[string]string `yaml:"reviewers" validate:"dive,ed25519" unit:"base64 ed25519 public key" doc:"keys of those who may sign bundles off, by key id"`
}

// Claims configures at most one run of an idempotency key.
type Claims struct {
	Shards           int           `yaml:"shards" validate:"min=1,max=4096" unit:"streams" doc:"number of claim streams on the log; the same on all daemons, and never changed while keys are remembered"`
	KeyLifetime      time.Duration `yaml:"key_lifetime" validate:"gte=3m" unit:"duration" doc:"how long a key is remembered"`
	LogRetention     time.Duration `yaml:"log_retention" validate:"gt=0" unit:"duration" doc:"how long the log keeps records; at least 5/4 of key_lifetime and 2m"`
	TokenLifetime    time.Duration `yaml:"token_lifetime" validate:"gt=0" unit:"duration" doc:"how long a bound token can be used"`
	BatchDelay       time.Duration `yaml:"batch_delay" validate:"gt=0" unit:"duration" doc:"least time between two appends to one stream; claims that come meanwhile are appended together"`
	AppendsPerSecond float64       `yaml:"appends_per_second" validate:"gt=0" unit:"appends per second" doc:"bound on this daemon's appends to all claim streams"`
	MaxAnswerBytes   int           `yaml:"max_answer_bytes" validate:"min=1" unit:"bytes" doc:"largest answer kept on the log for a repeat of its key"`
	MaxKeys          int           `yaml:"max_keys" validate:"min=1" unit:"keys" doc:"keys held in memory, for each stream"`
}

// Limits bounds what the daemon holds.
type Limits struct {
	MaxInFlight int `yaml:"max_in_flight" validate:"min=1" unit:"requests" doc:"requests in flight; more are refused at once"`
}

// Drain configures graceful shutdown.
type Drain struct {
	Delay   time.Duration `yaml:"delay" validate:"gte=0" unit:"duration" doc:"time of being not ready before the listener closes, for the balancer to notice"`
	Timeout time.Duration `yaml:"timeout" validate:"gt=0" unit:"duration" doc:"time for requests in flight to finish; less than callers.max_deadline cuts long ones; what remains is ended by an error answer and a cancel"`
}

// Log configures log lines.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error" doc:"least severe level that is written"`
	Format string `yaml:"format" validate:"oneof=text json" doc:"form of a line"`
}

// Policy configures the routing policy of this daemon.
type Policy struct {
	Seed uint64 `yaml:"seed" doc:"seed of the policy's random choices; 0 draws one at each start"`
}

// Defaults returns the settings that hold where the file is silent.
func Defaults() *Settings {
	return &Settings{
		Instance: Instance{DataCentre: "local"},
		Callers: Callers{
			Listen:         "127.0.0.1:8080",
			MaxBodyBytes:   4 << 20,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    30 * time.Second,
			WriteTimeout:   10 * time.Second,
			IdleTimeout:    2 * time.Minute,
			MaxDeadline:    10 * time.Minute,
			MaxConnections: 4096,
		},
		Peers: Peers{
			Listen:      "127.0.0.1:8081",
			Seeds:       []string{},
			Heartbeat:   250 * time.Millisecond,
			DeadAfter:   1200 * time.Millisecond,
			FrozenAfter: time.Second,
		},
		Platform: Platform{
			LogURL:         "http://127.0.0.1:8090",
			Timeout:        2 * time.Second,
			InstancesEvery: time.Second,
		},
		Bundle: Bundle{
			Stream:          "bundles",
			CheckpointEvery: 10 * time.Minute,
			Authors:         map[string]string{},
			Reviewers:       map[string]string{},
		},
		Claims: Claims{
			Shards:           4,
			KeyLifetime:      time.Hour,
			LogRetention:     2 * time.Hour,
			TokenLifetime:    10 * time.Minute,
			BatchDelay:       10 * time.Millisecond,
			AppendsPerSecond: 40,
			MaxAnswerBytes:   4 << 10,
			MaxKeys:          100_000,
		},
		Limits: Limits{MaxInFlight: 1024},
		Drain:  Drain{Delay: 2 * time.Second, Timeout: 10 * time.Minute},
		Log:    Log{Level: "info", Format: "text"},
	}
}
