//! The upstreams and waiting requests of one service.

mod permit;
mod refused;
mod service;
mod traffic;
mod turn;
mod wait;

pub use permit::Permit;
pub use refused::Refused;
pub use service::Lane;
pub use traffic::Traffic;
pub use turn::Turn;
