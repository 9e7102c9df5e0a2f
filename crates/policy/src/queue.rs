//! Requests that wait for a slot, ordered by deadline.
