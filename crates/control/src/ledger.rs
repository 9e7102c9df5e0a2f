//! Requests that a companion has begun, finished or tombstoned.
