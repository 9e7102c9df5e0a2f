//! The upstreams and waiting requests of one service.

mod permit;
mod refused;
mod service;
mod turn;
mod wait;

pub use permit::Permit;
pub use refused::Refused;
pub use service::Lane;
pub use turn::Turn;
