//! What the HTTP listeners for clients and operators have in common.

mod fallback;
mod listener;
mod refusal;
mod serving;

pub use fallback::Fallback;
pub use listener::Listener;
pub use refusal::Refusal;
pub use serving::Serving;
