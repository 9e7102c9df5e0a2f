//! Shared parts of the HTTP listeners for clients and operators.

mod error_body;
mod listener;
mod listener_handle;
mod not_found;

pub use error_body::ErrorBody;
pub use listener::Listener;
pub use listener_handle::ListenerHandle;
pub use not_found::NotFoundHandler;
