//! Client for the platform's key-value service with a call budget, backoff and a circuit breaker.
