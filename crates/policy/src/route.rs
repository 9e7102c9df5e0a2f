//! Load balancing of requests over upstreams.
//!
//! [`Balancer`] makes all routing decisions for one service. It combines a [`Router`] with
//! per-upstream concurrency limits, a request queue, a retry budget and outlier ejection.

mod balancer;
mod decision;
mod key;
mod outcome;
mod random;
mod ready_set;
mod release;
mod request;
mod router;
mod snapshot;
mod state;
mod upstream;
mod zone;

pub use balancer::Balancer;
pub use decision::Decision;
pub use key::Key;
pub use outcome::Outcome;
pub use release::Release;
pub use request::Request;
pub use router::Router;
pub use state::State;
pub use upstream::Upstream;
pub use zone::Zone;

pub use crate::queue::{Reason, Shed, Ticket};
