package code

import (
	"errors"
	"net/http"
	"sort"

	"github.com/zeebo/errs"
)

// Code is a result code. It implements error. docs/CODES.md lists all codes with their outcomes and HTTP statuses.
type Code int

// Codes below 100 mean that the request was answered, 100 to 199 that it was refused and didn't run, and 200 to 299 that its outcome is unknown. Codes from 300 concern operators' calls and internal components.
const (
	OK             Code = 0
	EndpointStatus Code = 1

	KeyMissing      Code = 100
	KeyUnknown      Code = 101
	KeyWithdrawn    Code = 102
	ServiceUnknown  Code = 103
	BodyTooLarge    Code = 104
	HeaderMalformed Code = 105
	// The estimated wait and run time exceed the time until the deadline.
	DeadlineHopeless Code = 106
	QueueFull        Code = 107
	LimitReached     Code = 108
	// The entry has no recent confirmation that its configuration, and so its keys, are current.
	KeyedWorkPaused Code = 109
	Draining        Code = 110
	NoEndpoint      Code = 111
	EndpointRefused Code = 112
	Cancelled       Code = 113
	RequestIDTooOld Code = 114
	// No entry can have issued the request id.
	RequestIDUnissued Code = 115
	BodyBroken        Code = 116
	JobImpossible     Code = 117
	JobUnknown        Code = 118
	DeadlinePassed    Code = 119
	MethodUnsupported Code = 120
	// The request id or idempotency key was used for a different request.
	IDReused Code = 121
	// The requests that the entry has in hand hold as much memory as they may.
	EntryOverloaded Code = 122

	// It is unknown whether the request ran.
	MayHaveRun     Code = 200
	AnswerBroken   Code = 201
	AnswerTooLarge Code = 202
	AnswerTimeout  Code = 203
	// The entry that issued the request id is gone or unreachable, and an earlier copy of the request may have run there.
	IssuerGone Code = 204
	// The request is a repeat, and the answer to the first one is not available any more.
	AnswerNotKept Code = 205
	WorkerLost    Code = 206
	// Outcomes of requests with ids this old are not remembered any more.
	RequestIDExpired Code = 207

	Conflict        Code = 300
	BundleMalformed Code = 301
	BundleInvalid   Code = 302
	SignOffMissing  Code = 303
	OperatorUnknown Code = 304
	NotYetKept      Code = 305
	// The version is committed but not accepted yet: an entry may still take keyed work under an older one.
	NotYetInForce    Code = 306
	TableUnavailable Code = 307
	// It is unknown whether a commit to the table took effect.
	TableInDoubt Code = 308
	LeaseLapsed  Code = 309
	// Taking the VM out of service would exceed the number of VMs of its pool that may be unavailable.
	BudgetExhausted   Code = 310
	PeerUnreachable   Code = 311
	SettingsInvalid   Code = 312
	VMUnknown         Code = 313
	EpochStale        Code = 314
	WaveUnknown       Code = 315
	OperationRepeated Code = 316
	// The budget for calls to the table is exhausted.
	TableBudget       Code = 317
	Forbidden         Code = 318
	StoreUnavailable  Code = 319
	JobPoisonous      Code = 320
	WorkerQuarantined Code = 321
	// The lease of another holder may not have expired yet.
	LeaseHeld Code = 340
	// It is not certain that the claim of a request with an idempotency key was written, so the request was not run.
	ClaimUnwritten Code = 341
	// The change feed does not reach back to the requested version, and the table must be read again.
	HistoryLost Code = 342
	// A file that the command line names can't be read.
	FileUnreadable Code = 343
	// No line of the log files holds the id.
	IDUnlogged Code = 344
	// The table refused a transaction for its content, so that repeating it unchanged can't help.
	TableRefused Code = 345
	Internal     Code = 399
)

type definition struct {
	name   string
	status int
}

var definitions = map[Code]definition{
	OK:             {"ok", http.StatusOK},
	EndpointStatus: {"endpoint-status", http.StatusBadGateway},

	KeyMissing:        {"key-missing", http.StatusUnauthorized},
	KeyUnknown:        {"key-unknown", http.StatusUnauthorized},
	KeyWithdrawn:      {"key-withdrawn", http.StatusUnauthorized},
	ServiceUnknown:    {"service-unknown", http.StatusNotFound},
	BodyTooLarge:      {"body-too-large", http.StatusRequestEntityTooLarge},
	HeaderMalformed:   {"header-malformed", http.StatusBadRequest},
	DeadlineHopeless:  {"deadline-hopeless", http.StatusServiceUnavailable},
	QueueFull:         {"queue-full", http.StatusServiceUnavailable},
	LimitReached:      {"limit-reached", http.StatusTooManyRequests},
	KeyedWorkPaused:   {"keyed-work-paused", http.StatusServiceUnavailable},
	Draining:          {"draining", http.StatusServiceUnavailable},
	NoEndpoint:        {"no-endpoint", http.StatusServiceUnavailable},
	EndpointRefused:   {"endpoint-refused", http.StatusServiceUnavailable},
	Cancelled:         {"cancelled", 499},
	RequestIDTooOld:   {"request-id-too-old", http.StatusConflict},
	RequestIDUnissued: {"request-id-unissued", http.StatusBadRequest},
	BodyBroken:        {"body-broken", http.StatusBadRequest},
	JobImpossible:     {"job-impossible", http.StatusUnprocessableEntity},
	JobUnknown:        {"job-unknown", http.StatusNotFound},
	DeadlinePassed:    {"deadline-passed", http.StatusGatewayTimeout},
	MethodUnsupported: {"method-unsupported", http.StatusMethodNotAllowed},
	IDReused:          {"id-reused", http.StatusUnprocessableEntity},
	EntryOverloaded:   {"entry-overloaded", http.StatusServiceUnavailable},

	MayHaveRun:       {"may-have-run", http.StatusBadGateway},
	AnswerBroken:     {"answer-broken", http.StatusBadGateway},
	AnswerTooLarge:   {"answer-too-large", http.StatusBadGateway},
	AnswerTimeout:    {"answer-timeout", http.StatusGatewayTimeout},
	IssuerGone:       {"issuer-gone", http.StatusBadGateway},
	AnswerNotKept:    {"answer-not-kept", http.StatusConflict},
	WorkerLost:       {"worker-lost", http.StatusBadGateway},
	RequestIDExpired: {"request-id-expired", http.StatusConflict},

	Conflict:          {"conflict", http.StatusConflict},
	BundleMalformed:   {"bundle-malformed", http.StatusBadRequest},
	BundleInvalid:     {"bundle-invalid", http.StatusUnprocessableEntity},
	SignOffMissing:    {"sign-off-missing", http.StatusForbidden},
	OperatorUnknown:   {"operator-unknown", http.StatusForbidden},
	NotYetKept:        {"not-yet-kept", http.StatusServiceUnavailable},
	NotYetInForce:     {"not-yet-in-force", http.StatusAccepted},
	TableUnavailable:  {"table-unavailable", http.StatusServiceUnavailable},
	TableInDoubt:      {"table-in-doubt", http.StatusServiceUnavailable},
	LeaseLapsed:       {"lease-lapsed", http.StatusConflict},
	BudgetExhausted:   {"budget-exhausted", http.StatusConflict},
	PeerUnreachable:   {"peer-unreachable", http.StatusServiceUnavailable},
	SettingsInvalid:   {"settings-invalid", http.StatusBadRequest},
	VMUnknown:         {"vm-unknown", http.StatusNotFound},
	EpochStale:        {"epoch-stale", http.StatusConflict},
	WaveUnknown:       {"wave-unknown", http.StatusNotFound},
	OperationRepeated: {"operation-repeated", http.StatusConflict},
	TableBudget:       {"table-budget", http.StatusServiceUnavailable},
	Forbidden:         {"forbidden", http.StatusForbidden},
	StoreUnavailable:  {"store-unavailable", http.StatusServiceUnavailable},
	JobPoisonous:      {"job-poisonous", http.StatusUnprocessableEntity},
	WorkerQuarantined: {"worker-quarantined", http.StatusServiceUnavailable},
	LeaseHeld:         {"lease-held", http.StatusConflict},
	HistoryLost:       {"history-lost", http.StatusServiceUnavailable},
	ClaimUnwritten:    {"claim-unwritten", http.StatusServiceUnavailable},
	FileUnreadable:    {"file-unreadable", http.StatusNotFound},
	IDUnlogged:        {"id-unlogged", http.StatusNotFound},
	TableRefused:      {"table-refused", http.StatusInternalServerError},
	Internal:          {"internal", http.StatusInternalServerError},
}

// String returns the kebab-case name of the code.
func (cd Code) String() string {
	if def, ok := definitions[cd]; ok {
		return def.name
	}
	return "unlisted"
}

// Status returns the HTTP status of answers with the code.
func (cd Code) Status() int {
	if def, ok := definitions[cd]; ok {
		return def.status
	}
	return http.StatusInternalServerError
}

// Error returns the name of the code; it implements error.
func (cd Code) Error() string { return cd.String() }

// Wrap returns an error that carries the code and the cause, whose text must not contain a key's secret; it is the cause if that carries the code already.
func (cd Code) Wrap(cause error) error {
	if cause == nil {
		return cd
	}
	var carried Code
	if errors.As(cause, &carried) && carried == cd {
		return cause
	}
	return errs.Combine(cd, cause)
}

// New returns an error that carries the code and a formatted message, which must not contain a key's secret.
func (cd Code) New(format string, args ...any) error {
	return errs.Combine(cd, errs.New(format, args...))
}

// Of returns the code that an error carries: OK for nil, Internal if it carries none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var cd Code
	if errors.As(err, &cd) {
		return cd
	}
	return Internal
}

// All returns all defined codes in numeric order.
func All() []Code {
	list := make([]Code, 0, len(definitions))
	for cd := range definitions {
		list = append(list, cd)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
