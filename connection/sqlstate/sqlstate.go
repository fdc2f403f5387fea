// Package sqlstate names the SQLSTATE codes that samphirehitch itself sends or
// handles (PostgreSQL documentation, appendix A).
package sqlstate

// Code is a five-character SQLSTATE.
type Code string

// SQLSTATE codes.
const (
	ProtocolViolation            Code = "08P01"
	ConnectionFailure            Code = "08006"
	TransactionResolutionUnknown Code = "08007"
	FeatureNotSupported          Code = "0A000"
	ReadOnlyTransaction          Code = "25006"
	IdleInTransactionTimeout     Code = "25P03"
	InFailedTransaction          Code = "25P02"
	InvalidStatementName         Code = "26000"
	InvalidAuthorization         Code = "28000"
	InvalidPassword              Code = "28P01"
	UnknownDatabase              Code = "3D000"
	SerializationFailure         Code = "40001"
	DuplicateStatement           Code = "42P05"
	InvalidParameterValue        Code = "22023"
	TooManyConnections           Code = "53300"
	ConfigurationLimitExceeded   Code = "53400"
	ProgramLimitExceeded         Code = "54000"
	QueryCanceled                Code = "57014"
	AdminShutdown                Code = "57P01"
	CannotConnectNow             Code = "57P03"
)
