//! Settings of a client.

use std::{net::SocketAddr, time::Duration};

use slog::{Discard, Logger, o};
use toucanquay_model::{Error, ErrorKind};

use crate::Client;

/// Longest writer id, in bytes.
const WRITER_BYTES_MAX: usize = 128;

/// Calls per second of one process unless set otherwise; see `docs/design.md`, "Rate of the store".
const DEFAULT_CALLS_PER_SECOND: u32 = 20;

/// Deadline of a call unless set otherwise.
const DEFAULT_CALL_DEADLINE: Duration = Duration::from_secs(3);

/// Shortest deadline of a call. Below it, the three attempts that may be needed don't fit.
const CALL_DEADLINE_MIN: Duration = Duration::from_millis(100);

/// Settings of a [`Client`].
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

    /// Sets the most calls per second; 20 by default. A burst of one second's calls is possible
    /// after a quiet second.
    #[must_use]
    pub const fn calls_per_second(mut self, calls: u32) -> Self {
        self.calls_per_second = calls;
        self
    }

    /// Sets how long a call may take with its repetitions; 3 s by default. One attempt may take a
    /// third of it, so that a lost answer leaves time for reading back and for a repetition.
    #[must_use]
    pub const fn call_deadline(mut self, deadline: Duration) -> Self {
        self.call_deadline = deadline;
        self
    }

    /// Sets the log; nothing is logged by default.
    #[must_use]
    pub fn log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Returns the client. It connects at its first call.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] when a setting is out of its range.
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
