//! Plain data that operators read and write.

mod applied;
mod in_force;
pub mod routes;
mod stored_section;
mod upstream;

pub use applied::{Applied, Edit};
pub use in_force::InForce;
pub use stored_section::StoredSection;
pub use upstream::Upstream;
