package service

import "github.com/fulmarloft/fulmarloft/pkg/code"

// Service is one service of the bundle.
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

// Name returns the service's name, which stands behind /call/ in the request path.
func (sv Service) Name() string { return sv.spec.Name }

// Open reports whether the service takes work without a key.
func (sv Service) Open() bool { return sv.spec.Queue == queueOpen }

// Idempotent reports whether a request may be sent again after an unknown outcome.
func (sv Service) Idempotent() bool { return sv.spec.Idempotent }

// Pool returns the name of the pool whose endpoints serve it.
func (sv Service) Pool() string { return sv.spec.Pool }

// DeadlineMS returns the longest that a caller waits, in milliseconds.
func (sv Service) DeadlineMS() int64 { return sv.spec.DeadlineMS }

// MaxRunMS returns the time in milliseconds after which a request sent to an endpoint has certainly ended there.
func (sv Service) MaxRunMS() int64 { return sv.spec.MaxRunMS }

// MaxBody returns the largest request body in bytes.
func (sv Service) MaxBody() int64 { return sv.spec.MaxBody }

// MaxAnswer returns the largest answer body in bytes.
func (sv Service) MaxAnswer() int64 { return sv.spec.MaxAnswer }

// MaxQueued returns how many requests one entry may hold in the service's queue.
func (sv Service) MaxQueued() int { return sv.spec.MaxQueued }

// Check returns an error of code BundleInvalid for a service that contradicts itself.
func (sv Service) Check() error {
	sp := sv.spec
	if sp.Name == "" {
		return code.BundleInvalid.New("service without a name")
	}
	if sp.Queue != queueOpen && sp.Queue != queueTeams {
		return code.BundleInvalid.New("service %s: expected queue open or teams", sp.Name)
	}
	if sp.DeadlineMS <= 0 || sp.MaxRunMS < sp.DeadlineMS {
		return code.BundleInvalid.New("service %s: expected 0 < deadline-ms <= longest-run-ms", sp.Name)
	}
	if sp.MaxBody <= 0 || sp.MaxAnswer <= 0 || sp.MaxQueued <= 0 {
		return code.BundleInvalid.New("service %s: expected max-body-bytes, max-answer-bytes and max-queued above 0", sp.Name)
	}
	return nil
}

// UnmarshalYAML reads the service's kebab-case form.
func (sv *Service) UnmarshalYAML(unmarshal func(any) error) error { return unmarshal(&sv.spec) }

// MarshalYAML returns the service's kebab-case form.
func (sv Service) MarshalYAML() (any, error) { return sv.spec, nil }
