// Package settings defines the daemon's static settings and reads them from a YAML file, in
// which unknown keys are errors. Settings are read when the daemon starts; configuration that
// operators change while daemons run is distributed in signed bundles instead. An attached
// daemon also applies a few changed settings while it runs.
//
// Every key has its documentation, unit and default, from which the reference page and the
// output of PrintDefaults are generated. Settings hold the names of files with secrets, never
// the secrets themselves.
package settings

import "time"

// Settings holds the settings file. Durations are written as Go duration strings, such as
// "500ms".
type Settings struct {
	Instance Instance `yaml:"instance" doc:"this daemon"`
	Callers  Callers  `yaml:"callers" doc:"the callers' HTTP listener"`
	Peers    Peers    `yaml:"peers" doc:"the connections between daemons"`
	Admin    Admin    `yaml:"admin" doc:"the administration listener"`
	Platform Platform `yaml:"platform" doc:"the platform's services"`
	Bundle   Bundle   `yaml:"bundle" doc:"the source of bundle versions and the keys trusted to sign them"`
	Claims   Claims   `yaml:"claims" doc:"at-most-once execution of requests with an idempotency key"`
	Limits   Limits   `yaml:"limits" doc:"limits on what this daemon holds in memory"`
	Drain    Drain    `yaml:"drain" doc:"graceful shutdown"`
	Log      Log      `yaml:"log" doc:"log lines, written to standard error"`
	Policy   Policy   `yaml:"policy" doc:"the routing policy; the bundle holds its weights"`
}

// Instance identifies this daemon. The incarnation is not a setting: each start of the process
// chooses a new one.
type Instance struct {
	Name       string `yaml:"name" validate:"omitempty,max=63,nodename" doc:"name of the instance, unique among live daemons; empty uses the host name"`
	DataCentre string `yaml:"data_centre" validate:"required,max=63,nodename" doc:"data centre the instance runs in"`
}

// Callers configures the listener that callers use.
type Callers struct {
	Listen         string        `yaml:"listen" validate:"hostport" unit:"host:port" doc:"address to listen on"`
	MaxBodyBytes   int64         `yaml:"max_body_bytes" validate:"min=1024,max=1073741824" unit:"bytes" doc:"largest request body"`
	HeaderTimeout  time.Duration `yaml:"header_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller must send its headers"`
	BodyTimeout    time.Duration `yaml:"body_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller must send its body"`
	WriteTimeout   time.Duration `yaml:"write_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller must accept each write of its answer"`
	IdleTimeout    time.Duration `yaml:"idle_timeout" validate:"gt=0" unit:"duration" doc:"time after which an idle connection is closed"`
	MaxDeadline    time.Duration `yaml:"max_deadline" validate:"gt=0" unit:"duration" doc:"longest deadline that a caller may request"`
	MaxConnections int           `yaml:"max_connections" validate:"min=1" unit:"connections" doc:"maximum number of open connections; further ones take the place of idle ones, and are closed if none becomes idle"`
	TLS            ServerTLS     `yaml:"tls" doc:"TLS of the listener; off while cert_file is empty"`
}

// ServerTLS configures TLS of a listener. It is off when CertFile is empty.
type ServerTLS struct {
	CertFile     string `yaml:"cert_file" unit:"file" doc:"certificate chain, PEM"`
	KeyFile      string `yaml:"key_file" unit:"file" doc:"private key, PEM"`
	ClientCAFile string `yaml:"client_ca_file" unit:"file" doc:"certificate authorities for client certificates, PEM; empty does not request client certificates"`
}

// Peers configures the connections between daemons.
type Peers struct {
	Listen      string        `yaml:"listen" validate:"hostport" unit:"host:port" doc:"address to listen on"`
	Advertise   string        `yaml:"advertise" validate:"omitempty,hostport" unit:"host:port" doc:"address that peers connect to; empty uses the listener's"`
	Seeds       []string      `yaml:"seeds" validate:"dive,hostport" unit:"host:port" doc:"peers to contact first; others are discovered through them and through the instance list"`
	Heartbeat   time.Duration `yaml:"heartbeat" validate:"gt=0" unit:"duration" doc:"time between heartbeats"`
	DeadAfter   time.Duration `yaml:"dead_after" validate:"gt=0,gtfield=Heartbeat" unit:"duration" doc:"time without a heartbeat after which a peer is considered dead; more than heartbeat"`
	FrozenAfter time.Duration `yaml:"frozen_after" validate:"gt=0" unit:"duration" doc:"gap between two ticks of this process's clock above which the process was frozen; it then dispatches no requests until its view of the peers is up to date"`
	TLS         PeerTLS       `yaml:"tls" doc:"mutual TLS between daemons; off while cert_file is empty"`
}

// PeerTLS configures mutual TLS between daemons. It is off when CertFile is empty.
type PeerTLS struct {
	CertFile string `yaml:"cert_file" unit:"file" doc:"certificate chain, PEM"`
	KeyFile  string `yaml:"key_file" unit:"file" doc:"private key, PEM"`
	CAFile   string `yaml:"ca_file" unit:"file" doc:"certificate authorities for peers' certificates, PEM"`
}

// Admin configures the administration listener. It is off when Listen is empty.
type Admin struct {
	Listen    string    `yaml:"listen" validate:"omitempty,hostport" unit:"host:port" doc:"address to listen on; empty turns the listener off; without TLS it must be a loopback address"`
	TokenFile string    `yaml:"token_file" unit:"file" doc:"file with the bearer token; required when listen is set"`
	TLS       ServerTLS `yaml:"tls" doc:"TLS of the listener; off while cert_file is empty"`
}

// Platform configures the clients of the platform's services.
type Platform struct {
	LogURL            string        `yaml:"log_url" validate:"http_url" unit:"URL" doc:"append-only log service"`
	InstancesURL      string        `yaml:"instances_url" validate:"omitempty,http_url" unit:"URL" doc:"list of live and leaving instances; empty uses none"`
	Timeout           time.Duration `yaml:"timeout" validate:"gt=0" unit:"duration" doc:"timeout of one call, in addition to the wait of a long poll"`
	InstancesInterval time.Duration `yaml:"instances_every" validate:"gt=0" unit:"duration" doc:"time between reads of the instance list"`
}

// Bundle configures the source of bundle versions and the keys that are trusted to sign them.
type Bundle struct {
	Stream             string            `yaml:"stream" validate:"required,nodename" doc:"stream of the log that holds bundle records"`
	CheckpointInterval time.Duration     `yaml:"checkpoint_every" validate:"gt=0" unit:"duration" doc:"time after which the active version is appended again; much less than the log's retention"`
	Authors            map[string]string `yaml:"authors" validate:"dive,ed25519" unit:"base64 ed25519 public key" doc:"public keys of those who may write bundles, by key id"`
	Reviewers          map[string]string `yaml:"reviewers" validate:"dive,ed25519" unit:"base64 ed25519 public key" doc:"public keys of those who may approve bundles, by key id"`
}

// Claims configures at-most-once execution of requests with an idempotency key.
type Claims struct {
	Shards           int           `yaml:"shards" validate:"min=1,max=4096" unit:"streams" doc:"number of claim streams in the log; the same on all daemons, and not to be changed within key_lifetime of the last request with a key"`
	KeyLifetime      time.Duration `yaml:"key_lifetime" validate:"gte=3m" unit:"duration" doc:"how long a key is remembered after its use"`
	LogRetention     time.Duration `yaml:"log_retention" validate:"gt=0" unit:"duration" doc:"how long the log retains records; at least 5/4 of key_lifetime plus 2m"`
	TokenLifetime    time.Duration `yaml:"token_lifetime" validate:"gt=0" unit:"duration" doc:"how long a bound token, which is an idempotency key issued by a daemon, is valid"`
	BatchDelay       time.Duration `yaml:"batch_delay" validate:"gt=0" unit:"duration" doc:"minimum time between two appends to one stream; claims that arrive in between are appended together"`
	AppendsPerSecond float64       `yaml:"appends_per_second" validate:"gt=0" unit:"appends per second" doc:"limit on this daemon's appends to all claim streams together"`
	MaxAnswerBytes   int           `yaml:"max_answer_bytes" validate:"min=1" unit:"bytes" doc:"largest answer that is stored in the log, to be returned if the request is repeated"`
	MaxKeys          int           `yaml:"max_keys" validate:"min=1" unit:"keys" doc:"maximum number of keys held in memory for each stream"`
}

// Limits bounds what the daemon holds in memory.
type Limits struct {
	MaxInFlight int `yaml:"max_in_flight" validate:"min=1" unit:"requests" doc:"maximum number of requests in flight; further ones are rejected immediately"`
	// BodiesShare, HeadsShare and AnswersShare are parts of what the Go memory limit leaves to the heap, 0.7 of MemoryMB.
	MemoryMB     int     `yaml:"memory_mb" validate:"min=64" unit:"megabytes" doc:"memory of the instance"`
	BodiesShare  float64 `yaml:"bodies_share" validate:"gt=0,lte=0.5" doc:"share of memory_mb that the bodies of callers' requests may hold together, a completion's six times its size; those over 256 KiB hold half of it at most; at least twelve times callers.max_body_bytes; requests are refused beyond it"`
	HeadsShare   float64 `yaml:"heads_share" validate:"gt=0,lte=0.5" doc:"share of memory_mb that the heads of callers' requests may hold together beyond 8 KiB each, 4 MiB at least; requests are refused beyond it"`
	AnswersShare float64 `yaml:"answers_share" validate:"gt=0,lte=0.5" doc:"share of memory_mb that the answers of all upstreams may hold together; one upstream's hold at most an eighth of that or 8 MiB, whichever is larger; requests are refused, or fail, beyond it"`
}

// AnswersBytes returns the memory that the answers of all upstreams may hold together, in bytes.
func (l Limits) AnswersBytes() int64 { return answersBytes(l.MemoryMB, l.AnswersShare) }

func answersBytes(memoryMB int, share float64) int64 {
	return int64(float64(memoryMB) * share * megabyte)
}

// BodiesBytes returns the memory for the bodies of callers' requests, in bytes. A completion of maxBodyBytes fits into
// the half of it that large ones may hold.
func (l Limits) BodiesBytes(maxBodyBytes int64) int64 {
	const largest = 2 * 6
	return max(int64(float64(l.MemoryMB)*l.BodiesShare*megabyte), largest*maxBodyBytes)
}

// HeadsBytes returns the memory for the heads of callers' requests, in bytes.
func (l Limits) HeadsBytes() int64 { return headsBytes(l.MemoryMB, l.HeadsShare) }

// ReceiveBytes returns the memory for what callers have sent and the daemon has not read, in bytes.
func (l Limits) ReceiveBytes() int64 { return receiveBytes(l.MemoryMB) }

// receiveBytes returns an eighth of the memory.
func receiveBytes(memoryMB int) int64 { return int64(memoryMB) * megabyte / 8 }

// minHeadsBytes is as much as a few of the largest heads hold.
const minHeadsBytes = 4 * megabyte

func headsBytes(memoryMB int, share float64) int64 {
	return max(int64(float64(memoryMB)*share*megabyte), minHeadsBytes)
}

// Drain configures graceful shutdown.
type Drain struct {
	Delay   time.Duration `yaml:"delay" validate:"gte=0" unit:"duration" doc:"time for which the daemon reports not ready before its listener closes, so that the load balancer stops sending requests"`
	Timeout time.Duration `yaml:"timeout" validate:"gt=0" unit:"duration" doc:"time for requests in flight to finish; a value below callers.max_deadline cuts off long ones; requests still running then are cancelled and answered with an error"`
}

// Log configures the log output.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error" doc:"minimum severity of the lines that are written"`
	Format string `yaml:"format" validate:"oneof=text json" doc:"format of a line"`
}

// Policy configures the routing policy of this daemon.
type Policy struct {
	Seed uint64 `yaml:"seed" doc:"seed of the policy's random choices; 0 uses a new random seed at each start"`
}

// Defaults returns the values of the keys that the file does not set.
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
			LogURL:            "http://127.0.0.1:8090",
			Timeout:           2 * time.Second,
			InstancesInterval: time.Second,
		},
		Bundle: Bundle{
			Stream:             "bundles",
			CheckpointInterval: 10 * time.Minute,
			Authors:            map[string]string{},
			Reviewers:          map[string]string{},
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
		Limits: Limits{MaxInFlight: 1024, MemoryMB: 512, BodiesShare: 0.25, HeadsShare: 0.05, AnswersShare: 0.2},
		Drain:  Drain{Delay: 2 * time.Second, Timeout: 10 * time.Minute},
		Log:    Log{Level: "info", Format: "text"},
	}
}
