package fault

import "net/http"

// Code is the stable identifier of a failure in error responses and logs.
type Code string

// Codes that callers can receive.
const (
	InvalidRequest       Code = "invalid_request"
	BodyTooLarge         Code = "body_too_large"
	HeaderTooLarge       Code = "header_too_large"
	Unauthenticated      Code = "unauthenticated"
	Forbidden            Code = "forbidden"
	KeyWithdrawn         Code = "key_withdrawn"
	UnknownProgram       Code = "unknown_program"
	UnknownService       Code = "unknown_service"
	UnknownModel         Code = "unknown_model"
	UnknownWorkspace     Code = "unknown_workspace"
	UnknownKey           Code = "unknown_key"
	UnknownChange        Code = "unknown_change"
	UnknownRoute         Code = "unknown_route"
	AlreadyExists        Code = "already_exists"
	ProgramEnded         Code = "program_ended"
	CallInProgress       Code = "call_in_progress"
	TurnPassed           Code = "turn_passed"
	TurnAhead            Code = "turn_ahead"
	HistoryMismatch      Code = "history_mismatch"
	IdempotencyKeyReused Code = "idempotency_key_reused"
	OutcomeUnknown       Code = "outcome_unknown"
	BudgetExhausted      Code = "budget_exhausted"
	TurnLimit            Code = "turn_limit"
	RateExceeded         Code = "rate_exceeded"
	Overloaded           Code = "overloaded"
	RequestQuarantined   Code = "request_quarantined"
	StaleVersion         Code = "stale_version"
	ProgramMoved         Code = "program_moved"
	LogUnavailable       Code = "log_unavailable"
	NoUpstream           Code = "no_upstream"
	UpstreamFailed       Code = "upstream_failed"
	UpstreamTimeout      Code = "upstream_timeout"
	PeerUnreachable      Code = "peer_unreachable"
	Unready              Code = "unready"
	Internal             Code = "internal"
)

var statuses = map[Code]int{
	InvalidRequest:       http.StatusBadRequest,
	BodyTooLarge:         http.StatusRequestEntityTooLarge,
	HeaderTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
	Unauthenticated:      http.StatusUnauthorized,
	KeyWithdrawn:         http.StatusUnauthorized,
	Forbidden:            http.StatusForbidden,
	UnknownProgram:       http.StatusNotFound,
	UnknownService:       http.StatusNotFound,
	UnknownModel:         http.StatusNotFound,
	UnknownWorkspace:     http.StatusNotFound,
	UnknownKey:           http.StatusNotFound,
	UnknownChange:        http.StatusNotFound,
	UnknownRoute:         http.StatusNotFound,
	AlreadyExists:        http.StatusConflict,
	ProgramEnded:         http.StatusConflict,
	CallInProgress:       http.StatusConflict,
	TurnPassed:           http.StatusConflict,
	TurnAhead:            http.StatusConflict,
	HistoryMismatch:      http.StatusConflict,
	IdempotencyKeyReused: http.StatusConflict,
	OutcomeUnknown:       http.StatusConflict,
	StaleVersion:         http.StatusConflict,
	BudgetExhausted:      http.StatusPaymentRequired,
	TurnLimit:            http.StatusForbidden,
	RateExceeded:         http.StatusTooManyRequests,
	Overloaded:           http.StatusServiceUnavailable,
	RequestQuarantined:   http.StatusUnprocessableEntity,
	ProgramMoved:         http.StatusMisdirectedRequest,
	LogUnavailable:       http.StatusServiceUnavailable,
	NoUpstream:           http.StatusServiceUnavailable,
	UpstreamFailed:       http.StatusBadGateway,
	UpstreamTimeout:      http.StatusGatewayTimeout,
	PeerUnreachable:      http.StatusBadGateway,
	Unready:              http.StatusServiceUnavailable,
}

// Status returns the HTTP status of a response with the code.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}
