//! At-most-once record of requests that may not be repeated.
