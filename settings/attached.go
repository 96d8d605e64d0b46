package settings

import (
	"reflect"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Attached holds the settings file of a daemon that runs attached to its users' platform. The
// platform provides the configuration, the list of upstreams and the load balancer in front of
// the daemons.
type Attached struct {
	Instance  Instance        `yaml:"instance" doc:"this daemon"`
	Callers   AttachedCallers `yaml:"callers" doc:"the callers' HTTP listener"`
	Ready     Listener        `yaml:"ready" doc:"the listener of the platform's readiness checks"`
	Metrics   Listener        `yaml:"metrics" doc:"the listener that serves the metrics"`
	Store     Store           `yaml:"store" doc:"the platform's metadata store"`
	Relay     Relay           `yaml:"relay" doc:"the listener for other daemons, on whose behalf this one may read the store"`
	Retries   Retries         `yaml:"retries" doc:"retry budget that all daemons share"`
	Hedging   Hedging         `yaml:"hedging" doc:"second dispatches of slow calls to plain services"`
	Services  PlainServices   `yaml:"services" doc:"calls to plain services, which run no model"`
	Quota     Quota           `yaml:"quota" doc:"how far all daemons together may exceed the rate limits of teams"`
	Admission Admission       `yaml:"admission" doc:"order in which requests that wait for a decode engine are admitted, over all daemons"`
	Orders    Orders          `yaml:"orders" doc:"orders that move engines between prefill and decode"`
	Drain     AttachedDrain   `yaml:"drain" doc:"graceful shutdown"`
	Limits    Resources       `yaml:"limits" doc:"resources of the instance"`
	Log       Log             `yaml:"log" doc:"log lines, written to standard output"`
	Policy    Policy          `yaml:"policy" doc:"the routing policy"`
}

// AttachedCallers configures the callers' listener. Limits on the size and the deadline of
// requests are part of the platform's configuration.
type AttachedCallers struct {
	Listen       string        `yaml:"listen" validate:"hostport" unit:"host:port" doc:"address to listen on"`
	BodyTimeout  time.Duration `yaml:"body_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller must send its body"`
	WriteTimeout time.Duration `yaml:"write_timeout" validate:"gt=0" unit:"duration" doc:"time within which a caller must accept each write of its answer"`
}

// Listener configures a listener that can be turned off.
type Listener struct {
	Listen string `yaml:"listen" validate:"omitempty,hostport" unit:"host:port" doc:"address to listen on; empty turns the listener off"`
}

// Relay configures how daemons share reads of the store.
type Relay struct {
	Listen string   `yaml:"listen" validate:"omitempty,hostport" unit:"host:port" doc:"address to listen on; empty turns the listener off, and the daemon reads the store itself"`
	Seeds  []string `yaml:"seeds" validate:"dive,hostport" unit:"host:port" doc:"relay addresses of some daemons, possibly including this one; a daemon that starts asks these first which daemon reads the store"`
	// DataCentres may be empty if there is only one data centre.
	DataCentres []string `yaml:"data_centres" doc:"data centres in which daemons may run; one without known daemons is assumed to have as many as the largest known one"`
}

// Store configures how the daemon reads the platform's store.
type Store struct {
	Address         string        `yaml:"address" validate:"hostport" unit:"host:port" doc:"address of the store"`
	ContactTimeout  time.Duration `yaml:"contact" validate:"gt=1s" unit:"duration" doc:"time after which the platform considers a daemon that lost contact with the store to be in contact again; each read of the store ends within it, because nothing else detects an answer that is lost on an open connection"`
	Timeout         time.Duration `yaml:"timeout" validate:"gt=0" unit:"duration" doc:"timeout of one call, in addition to the wait of a long poll"`
	Retry           time.Duration `yaml:"retry" validate:"gt=0" unit:"duration" doc:"pause after a failed call"`
	ApplyTimeout    time.Duration `yaml:"apply" validate:"gt=0" unit:"duration" doc:"time within which a new configuration must take effect"`
	RecordRetention time.Duration `yaml:"keep" validate:"gt=0" unit:"duration" doc:"how long the store retains the records that daemons append"`
	Heartbeat       time.Duration `yaml:"heartbeat" validate:"gt=0" unit:"duration" doc:"interval at which upstreams renew their registrations; the store drops one that was not renewed three times in a row"`
	LeaveTimeout    time.Duration `yaml:"leave" validate:"gt=0" unit:"duration" doc:"time after which an upstream that is leaving must receive no new requests"`
}

// ChangeTimeout returns the time within which every change in the store must take effect.
func (s Store) ChangeTimeout() time.Duration { return min(s.ApplyTimeout, s.LeaveTimeout) }

// RegistrationLease returns how long the store keeps a registration that its upstream does not renew.
func (s Store) RegistrationLease() time.Duration {
	const heartbeats = 3
	return heartbeats * s.Heartbeat
}

// Retries bounds the attempts of all requests beyond the first of each.
type Retries struct {
	Ratio   float64       `yaml:"ratio" validate:"gte=0,lte=1" doc:"retries allowed for each request, over all daemons"`
	Slack   float64       `yaml:"slack" validate:"gte=0" doc:"retries allowed in addition to the ratio in one window, over all daemons"`
	Window  time.Duration `yaml:"window" validate:"gt=0" unit:"duration" doc:"length of the sliding window"`
	Daemons int           `yaml:"daemons" validate:"min=1" doc:"minimum number of daemons among which the slack is divided; further daemons are counted as they are discovered; with 1, a daemon that discovers no other uses all of the slack"`
}

// Hedging bounds the calls that are sent to a second replica because the first one is slow.
type Hedging struct {
	Share float64 `yaml:"share" validate:"gte=0,lte=1" doc:"share of a service's requests that may be sent to a second replica, over all daemons, because the first one is slower than most have been lately; such requests also count towards the retry budget; 0 turns this off"`
}

// The values of Admission.Mode.
const (
	AdmissionRanked = "ranked"
	AdmissionAlways = "always"
	AdmissionOff    = "off"
)

// Admission configures the order in which requests that wait for a decode engine are admitted.
type Admission struct {
	Mode string `yaml:"mode" validate:"oneof=ranked always off" doc:"models whose requests are admitted by rank and waiting time over all daemons: ranked (those whose routes differ in priority), always (all) or off (none: each daemon orders its own requests); needs relay.listen"`
}

// The values of PlainServices.Forecast.
const (
	ForecastPaced = "paced"
	ForecastOff   = "off"
)

// PlainServices configures the choice of replicas of plain services.
type PlainServices struct {
	Forecast string `yaml:"forecast" validate:"oneof=paced off" doc:"whether calls go to the replica that is predicted to end them first, and wait or are refused when no queue has room: paced does so for services whose replicas state the pace of their machines, off for none"`
}

// Quota bounds how far a team's requests may exceed its rate limit: in any Window, at most
// (rate x Window + burst) x (1 + Excess) + Slack units run.
type Quota struct {
	Window time.Duration `yaml:"window" validate:"gt=0" unit:"duration" doc:"length of the sliding window"`
	Excess float64       `yaml:"excess" validate:"gte=0" doc:"fraction of the limit that may run in addition to it in one window"`
	Slack  float64       `yaml:"slack" validate:"gte=0" doc:"units of a team that may run in addition to limit and excess in one window"`
}

// Orders configures the orders that move engines between prefill and decode.
type Orders struct {
	QuietPeriod time.Duration `yaml:"quiet" validate:"gt=0" unit:"duration" doc:"minimum time between the last order of one daemon and the first of another"`
	// Bootstrap is set by the platform.
	Bootstrap bool `yaml:"bootstrap" doc:"whether the whole system starts for the first time: all daemons start at about the same moment, and none has sent orders or retries before"`
}

// AttachedDrain configures graceful shutdown.
type AttachedDrain struct {
	Notice time.Duration `yaml:"notice" validate:"gte=0" unit:"duration" doc:"time for which the daemon reports not ready before its listener closes, so that the load balancer stops sending requests; less than grace"`
	Grace  time.Duration `yaml:"grace" validate:"gt=0" unit:"duration" doc:"time from SIGTERM until the platform kills the process"`
}

// Resources holds the resources of the instance, to which the daemon limits itself.
type Resources struct {
	MemoryMB int `yaml:"memory_mb" validate:"min=16" unit:"megabytes" doc:"memory of the instance"`
	// AnswersShare is part of what the Go memory limit leaves to the heap, 0.7 of MemoryMB.
	// BodiesShare and HeadsShare are other parts, and most of RequestsShare is.
	BodiesShare   float64 `yaml:"bodies_share" validate:"gt=0,lte=0.5" doc:"share of memory_mb that the bodies of callers' requests may hold together, 8 MiB at least; requests are refused beyond it"`
	HeadsShare    float64 `yaml:"heads_share" validate:"gt=0,lte=0.5" doc:"share of memory_mb that the heads of callers' requests may hold together beyond 8 KiB each, 4 MiB at least; requests are refused beyond it"`
	RequestsShare float64 `yaml:"requests_share" validate:"gt=0,lte=0.8" doc:"share of memory_mb that callers' requests in flight may hold together, 48 KiB each beside heads, bodies and answers; further ones are refused"`
	AnswersShare  float64 `yaml:"answers_share" validate:"gt=0,lte=0.5" doc:"share of memory_mb that the answers of all upstreams may hold together; one upstream's hold at most an eighth of that or 8 MiB, whichever is larger; requests are refused, or fail, beyond it"`
	Descriptors   int     `yaml:"descriptors" validate:"min=64" unit:"descriptors" doc:"file descriptors of the process"`
	Cores         int     `yaml:"cores" validate:"min=1" doc:"processors of the instance"`
	// CPUShare and LinkRate determine Weight; LinkRate also bounds how much the daemon sends to
	// its followers at the same time.
	CPUShare float64 `yaml:"share" validate:"gt=0" unit:"cores" doc:"processor time available to the instance per second"`
	LinkRate float64 `yaml:"link" validate:"gt=0" unit:"Mbit/s" doc:"bandwidth of the instance's network link"`
}

// Weight returns the capacity of the instance to relay the store's feeds to other daemons, by
// which readers are elected: the smaller of its CPU in thousandths of a core and its link's
// bandwidth in tenths of a Mbit/s. A fifth of a core and 20 Mbit/s serve about the same number
// of followers.
func (l Resources) Weight() int { return int(min(1000*l.CPUShare, 10*l.LinkRate)) }

const megabyte = 1 << 20

// AnswersBytes returns the memory that the answers of all upstreams may hold together, in bytes.
func (l Resources) AnswersBytes() int64 { return answersBytes(l.MemoryMB, l.AnswersShare) }

// minBodiesBytes is as much as one body has at the most where the configuration does not say.
const minBodiesBytes = 8 * megabyte

// BodiesBytes returns the memory for the bodies of callers' requests, in bytes.
func (l Resources) BodiesBytes() int64 {
	return max(int64(float64(l.MemoryMB)*l.BodiesShare*megabyte), minBodiesBytes)
}

// HeadsBytes returns the memory for the heads of callers' requests, in bytes.
func (l Resources) HeadsBytes() int64 { return headsBytes(l.MemoryMB, l.HeadsShare) }

// requestBytes is what a request in flight holds besides its head, body and answer: the stacks of three goroutines, the
// buffers of its connection and its state.
const requestBytes = 48 << 10

// MaxInFlight returns the maximum number of callers' requests in flight.
func (l Resources) MaxInFlight() int64 {
	return int64(float64(l.MemoryMB) * l.RequestsShare * megabyte / requestBytes)
}

// ReceiveBytes returns the memory for what callers have sent and the daemon has not read, in bytes.
func (l Resources) ReceiveBytes() int64 { return receiveBytes(l.MemoryMB) }

// FrameBytes returns the memory for large messages of other daemons, in bytes.
func (l Resources) FrameBytes() int64 { return int64(l.MemoryMB) * megabyte / 8 }

// LinkBytesPerSecond returns LinkRate in bytes per second.
func (l Resources) LinkBytesPerSecond() float64 {
	const bytesPerMegabit = 1e6 / 8
	return l.LinkRate * bytesPerMegabit
}

// AttachedDefaults returns the values of the keys that the file does not set.
func AttachedDefaults() *Attached {
	base := Defaults()
	return &Attached{
		Instance: base.Instance,
		Callers:  AttachedCallers{Listen: base.Callers.Listen, BodyTimeout: 5 * time.Second, WriteTimeout: base.Callers.WriteTimeout},
		Store: Store{
			Address:         "127.0.0.1:8090",
			ContactTimeout:  3 * time.Second,
			Timeout:         800 * time.Millisecond,
			Retry:           250 * time.Millisecond,
			ApplyTimeout:    2 * time.Second,
			RecordRetention: 5 * time.Minute,
			Heartbeat:       1200 * time.Millisecond,
			LeaveTimeout:    2 * time.Second,
		},
		Retries:   Retries{Ratio: 0.2, Slack: 20, Window: 10 * time.Second, Daemons: 2},
		Services:  PlainServices{Forecast: ForecastPaced},
		Quota:     Quota{Window: 8 * time.Second, Excess: 0.1},
		Admission: Admission{Mode: AdmissionRanked},
		Orders:    Orders{QuietPeriod: 3 * time.Second},
		Drain:     AttachedDrain{Notice: 2500 * time.Millisecond, Grace: 8 * time.Second},
		Limits:    Resources{MemoryMB: 128, AnswersShare: 0.25, BodiesShare: 0.15, HeadsShare: 0.05, RequestsShare: 0.4, Descriptors: 1024, Cores: 1, CPUShare: 1, LinkRate: 1000},
		Log:       Log{Level: "info", Format: "json"},
	}
}

// LoadAttached reads and validates the settings file of an attached daemon. Keys that the file
// does not set have their defaults. An invalid file results in an *Error.
func LoadAttached(file string) (*Attached, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeAttached(file, data)
}

// DecodeAttached is LoadAttached for content that has been read already. The file name is used
// in errors only.
func DecodeAttached(file string, data []byte) (*Attached, error) {
	s := AttachedDefaults()
	keys := &keyIndex{file: file, lines: map[string]int{}, fields: AttachedFields()}
	if err := decodeInto(s, keys, data); err != nil {
		return nil, err
	}
	var violations validator.ValidationErrors
	if err := tagValidator().Struct(s); errors.As(err, &violations) {
		return nil, violationError(violations[0], keys)
	}
	return s, nil
}

// AttachedFields describes every key of an attached daemon's settings file, in the file's order.
func AttachedFields() []Field {
	return appendFields(nil, "", reflect.ValueOf(*AttachedDefaults()))
}
