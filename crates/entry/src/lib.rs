//! The process on each entry host: client and operator protocol, routing, admission and cell
//! ownership.

pub mod clock;
pub mod forward;
pub mod http;
pub mod operator;
pub mod settings;

pub use clock::Clock;
pub use settings::Settings;
