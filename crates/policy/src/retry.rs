//! Budget for retries as a share of requests.
