package marshaller

import "fmt"

// RolloutRunningError reports an order of a rollout while another one of the same pool is in progress.
type RolloutRunningError struct{ Pool, Version string }

// Error implements error.
func (e *RolloutRunningError) Error() string {
	return fmt.Sprintf("a rollout of %s to version %s is in progress", e.Pool, e.Version)
}

// StaleRolloutError reports a step that was decided on another revision of a rollout than the current one, or on one that has ended.
type StaleRolloutError struct{ Revision, Current uint64 }

// Error implements error.
func (e *StaleRolloutError) Error() string {
	return fmt.Sprintf("the step was decided on revision %d of the rollout, the current one is %d", e.Revision, e.Current)
}
