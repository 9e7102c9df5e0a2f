//! Types and HTTP routes of the operator protocol.

mod edit;
mod in_force;
pub mod routes;
mod stored_section;
mod upstream;

pub use edit::{AcceptedEdit, Edit};
pub use in_force::InForce;
pub use stored_section::StoredSection;
pub use upstream::Upstream;
