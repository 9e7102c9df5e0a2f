//! Shared parts of the HTTP listeners for clients and operators.

mod caller;
pub mod callers;
mod error_body;
mod gate;
mod kind;
mod limits;
mod listener;
mod listener_handle;
mod not_found;

pub use caller::Caller;
pub use callers::Callers;
pub use error_body::ErrorBody;
pub use kind::Kind;
pub use limits::Limits;
pub use listener::Listener;
pub use listener_handle::ListenerHandle;
pub use not_found::NotFoundHandler;
