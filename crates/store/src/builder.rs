//! The builder of a client.

use std::{net::SocketAddr, time::Duration};

use slog::{Discard, Logger, o};
use toucanquay_model::{Error, ErrorKind};

use crate::Client;

/// Maximum length of a writer id, in bytes.
const WRITER_BYTES_MAX: usize = 128;

/// Default calls per second of one process; see `docs/design.md`, "Rate of the store".
const DEFAULT_CALLS_PER_SECOND: u32 = 20;

/// Default deadline of a call, including its retries.
const DEFAULT_CALL_DEADLINE: Duration = Duration::from_secs(3);

/// Minimum deadline of a call. A shorter one leaves no time for the three attempts that a write may
/// need.
const CALL_DEADLINE_MIN: Duration = Duration::from_millis(100);

/// Configures and creates a [`Client`].
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use toucanquay_store::Client;
///
/// let client = Client::builder("127.0.0.1:9000".parse().unwrap(), "entry-1")
///     .calls_per_second(50)
///     .call_deadline(Duration::from_secs(1))
///     .build()?;
/// # Ok::<(), toucanquay_model::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Builder {
    pub(crate) address: SocketAddr,
    pub(crate) writer: String,
    pub(crate) calls_per_second: u32,
    pub(crate) call_deadline: Duration,
    pub(crate) log: Logger,
}

impl Builder {
    pub(crate) fn new(address: SocketAddr, writer: impl Into<String>) -> Self {
        Self {
            address,
            writer: writer.into(),
            calls_per_second: DEFAULT_CALLS_PER_SECOND,
            call_deadline: DEFAULT_CALL_DEADLINE,
            log: Logger::root(Discard, o!()),
        }
    }

    /// Sets the maximum calls per second; 20 by default. After an idle second, a burst of one
    /// second's calls is allowed.
    #[must_use]
    pub const fn calls_per_second(mut self, calls: u32) -> Self {
        self.calls_per_second = calls;
        self
    }

    /// Sets the time limit of a call including its retries; 3 s by default. One attempt may take a
    /// third of it, so that a lost response leaves time to read the key back and to retry.
    #[must_use]
    pub const fn call_deadline(mut self, deadline: Duration) -> Self {
        self.call_deadline = deadline;
        self
    }

    /// Sets the logger; nothing is logged by default.
    #[must_use]
    pub fn log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Creates the client. It connects on its first call.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] when a setting is out of range.
    pub fn build(self) -> Result<Client, Error> {
        let is_printable = self.writer.bytes().all(|byte| byte.is_ascii_graphic());
        if self.writer.is_empty() || self.writer.len() > WRITER_BYTES_MAX || !is_printable {
            return Err(Error::new(ErrorKind::InvalidSetting)
                .field("writer id")
                .value(&self.writer)
                .expected("1 to 128 printable ASCII characters without spaces"));
        }
        if self.calls_per_second == 0 {
            return Err(Error::new(ErrorKind::InvalidSetting)
                .field("store calls per second")
                .value(self.calls_per_second)
                .expected("at least 1"));
        }
        if self.call_deadline < CALL_DEADLINE_MIN {
            return Err(Error::new(ErrorKind::InvalidSetting)
                .field("store call deadline")
                .value(format!("{:?}", self.call_deadline))
                .expected("at least 100 ms"));
        }
        Client::new(self)
    }
}
