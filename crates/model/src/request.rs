//! Requests.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Incarnation};

/// Identifies one request through all processes: the run of the entry that accepted it, and a
/// number that grows in that run.
///
/// The number lets a companion tell a request that it never saw from one that it has forgotten.
///
/// # Examples
///
/// ```
/// use toucanquay_model::request::Id;
///
/// let id = Id::new(7, 42);
/// assert_eq!((id.entry(), id.number()), (7, 42));
/// assert_eq!(id.to_string().parse::<Id>().unwrap(), id);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u128);

impl Id {
    /// Returns the id of request `number` of the entry's run `entry`.
    #[must_use]
    pub const fn new(entry: Incarnation, number: u64) -> Self {
        Self(((entry as u128) << 64) | number as u128)
    }

    /// Returns the run of the entry.
    #[must_use]
    pub const fn entry(self) -> Incarnation {
        (self.0 >> 64) as u64
    }

    /// Returns the number in the entry's run.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 as u64
    }
}

impl std::str::FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u128::from_str_radix(text, 16).map(Self).map_err(|cause| {
            Error::new(ErrorKind::InvalidField)
                .field("request")
                .value(text)
                .expected("a request id of hexadecimal digits")
                .context(cause)
        })
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// What a companion knows of a request that it was asked to tombstone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It did not run, and this companion now refuses it for good.
    NotRun,
    /// It is running.
    Running,
    /// It ran to its end.
    Finished,
    /// The companion cannot tell, for example because it was restarted since.
    Unknown,
}
