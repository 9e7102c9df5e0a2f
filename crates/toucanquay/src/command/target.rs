//! Operator listener that a command calls.

use clap::Args;

use super::Output;
use crate::api::EntryClient;

/// Listener to call and output format.
#[derive(Debug, Args)]
pub struct Target {
    /// URL of an entry's operator listener
    #[arg(
        long,
        env = "TOUCANQUAY_OPERATOR",
        default_value = "http://127.0.0.1:7701"
    )]
    operator: String,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    pub output: Output,
}

impl Target {
    /// Returns a client of the listener.
    pub fn entry_client(&self) -> EntryClient {
        EntryClient::new(self.operator.as_str())
    }
}
