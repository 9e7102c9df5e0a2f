//! Adaptive limit on the requests in flight at one upstream.
