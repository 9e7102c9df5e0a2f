//! Permission to send one request.

use std::sync::Arc;

use toucanquay_model::Time;
use toucanquay_policy::route::{Key, Outcome};

use super::ServiceBalancer;
use crate::forward::Target;

/// Permission to send one request to one upstream. The request counts as in flight until the permit
/// is completed or dropped.
///
/// Dropping the permit records the request as cancelled by the client.
#[derive(Debug)]
pub struct Permit {
    balancer: Arc<ServiceBalancer>,
    key: Key,
    target: Target,
    started_at: Time,
    outcome: Outcome,
}

impl Permit {
    pub(super) const fn new(
        balancer: Arc<ServiceBalancer>,
        key: Key,
        target: Target,
        started_at: Time,
    ) -> Self {
        Self {
            balancer,
            key,
            target,
            started_at,
            outcome: Outcome::Cancelled,
        }
    }

    /// Returns the key of the upstream in the balancer.
    #[must_use]
    pub const fn key(&self) -> Key {
        self.key
    }

    /// Returns the companion to send the request to.
    #[must_use]
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Records the outcome of the request.
    pub fn complete(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.balancer
            .finish(self.key, self.outcome, self.started_at);
    }
}
