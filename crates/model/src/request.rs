//! Identifier and execution state of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Incarnation};

/// Identifies a request across all processes: the incarnation of the entry that accepted it, and a
/// number that increases within that incarnation.
///
/// The number allows a companion to distinguish a request that it never received from one whose
/// record it has already deleted.
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
    /// Creates the id of request `number` of the entry incarnation `entry`.
    #[must_use]
    pub const fn new(entry: Incarnation, number: u64) -> Self {
        Self(((entry as u128) << 64) | number as u128)
    }

    /// Returns the incarnation of the entry.
    #[must_use]
    pub const fn entry(self) -> Incarnation {
        (self.0 >> 64) as u64
    }

    /// Returns the number within the entry's incarnation.
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

/// Execution state of a request, returned by a companion that was asked to tombstone it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The request was not executed, and the companion will refuse it from now on.
    NotRun,
    /// The request is being executed.
    Running,
    /// The request was executed to completion.
    Finished,
    /// The companion cannot determine the state, for example because it was restarted.
    Unknown,
}
