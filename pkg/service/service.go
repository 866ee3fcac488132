package service

import "github.com/fulmarloft/fulmarloft/pkg/code"

// Service holds the configuration of a service.
type Service struct {
	spec spec
}

type spec struct {
	Name       string `yaml:"name"`
	Queue      string `yaml:"queue"`
	Idempotent bool   `yaml:"idempotent"`
	Pool       string `yaml:"pool"`
	DeadlineMS int64  `yaml:"deadline-ms"`
	MaxRunMS   int64  `yaml:"longest-run-ms"`
	MaxBody    int64  `yaml:"max-body-bytes"`
	MaxAnswer  int64  `yaml:"max-answer-bytes"`
	MaxQueued  int    `yaml:"max-queued"`
}

const (
	queueOpen  = "open"
	queueTeams = "teams"
)

// Name returns the service's name, which follows /call/ in the request path.
func (sv Service) Name() string { return sv.spec.Name }

// Open reports whether the service accepts requests without a key.
func (sv Service) Open() bool { return sv.spec.Queue == queueOpen }

// Idempotent reports whether a request may be sent again after an unknown outcome.
func (sv Service) Idempotent() bool { return sv.spec.Idempotent }

// Pool returns the name of the pool whose endpoints run the service.
func (sv Service) Pool() string { return sv.spec.Pool }

// DeadlineMS returns the default and maximum time until the deadline of a request, in milliseconds.
func (sv Service) DeadlineMS() int64 { return sv.spec.DeadlineMS }

// MaxRunMS returns the time in milliseconds after which a request sent to an endpoint has certainly ended there.
func (sv Service) MaxRunMS() int64 { return sv.spec.MaxRunMS }

// MaxBody returns the maximum size of a request body in bytes.
func (sv Service) MaxBody() int64 { return sv.spec.MaxBody }

// MaxAnswer returns the maximum size of an answer body in bytes.
func (sv Service) MaxAnswer() int64 { return sv.spec.MaxAnswer }

// MaxQueued returns how many requests each entry may hold in the service's queue.
func (sv Service) MaxQueued() int { return sv.spec.MaxQueued }

// Check returns an error of code BundleInvalid if the service has no name, an unknown queue kind, or times or limits out of range.
func (sv Service) Check() error {
	sp := sv.spec
	if sp.Name == "" {
		return code.BundleInvalid.New("service without a name")
	}
	if sp.Queue != queueOpen && sp.Queue != queueTeams {
		return code.BundleInvalid.New("service %s: expected queue open or teams, got %q", sp.Name, sp.Queue)
	}
	if sp.DeadlineMS <= 0 || sp.MaxRunMS < sp.DeadlineMS {
		return code.BundleInvalid.New("service %s: expected 0 < deadline-ms <= longest-run-ms, got %d and %d", sp.Name, sp.DeadlineMS, sp.MaxRunMS)
	}
	if sp.MaxBody <= 0 || sp.MaxAnswer <= 0 || sp.MaxQueued <= 0 {
		return code.BundleInvalid.New("service %s: expected max-body-bytes, max-answer-bytes and max-queued above 0, got %d, %d and %d", sp.Name, sp.MaxBody, sp.MaxAnswer, sp.MaxQueued)
	}
	return nil
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (sv *Service) UnmarshalYAML(unmarshal func(any) error) error { return unmarshal(&sv.spec) }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (sv Service) MarshalYAML() (any, error) { return sv.spec, nil }
