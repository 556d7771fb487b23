//! History recorder and checkers of concurrent runs.
