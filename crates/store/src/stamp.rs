//! Stamps of writes.

use std::fmt;

/// Prefix of every value that a client writes.
const STAMP_PREFIX: &str = "toucanquay1 ";

/// Identifies a write by its writer and sequence number; stored as the first line of the value.
///
/// After a lost response, it tells a client whether the value at a key is its own. A line is
/// shorter than a JSON object with an escaped value, and leaves nearly all of the 1 MB limit to the
/// value.
///
/// # Examples
///
/// ```
/// use toucanquay_store::Stamp;
///
/// let stamp = Stamp { writer: "entry-1.5f".to_owned(), sequence: 7 };
/// let stored = stamp.encode("text");
/// assert_eq!(Stamp::decode(&stored), (Some(stamp), "text"));
/// assert_eq!(Stamp::decode("written by hand"), (None, "written by hand"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Stamp {
    /// Id of the writer, with a suffix that differs between its runs.
    pub writer: String,
    /// Sequence number of the write within the run of the writer.
    pub sequence: u64,
}

impl Stamp {
    /// Returns the text to store for `value`.
    #[must_use]
    pub fn encode(&self, value: &str) -> String {
        format!("{STAMP_PREFIX}{} {}\n{value}", self.writer, self.sequence)
    }

    /// Splits a stored text into its stamp, if it has one, and its value.
    #[must_use]
    pub fn decode(stored: &str) -> (Option<Self>, &str) {
        match Self::parse(stored) {
            Some((stamp, value)) => (Some(stamp), value),
            None => (None, stored),
        }
    }

    fn parse(stored: &str) -> Option<(Self, &str)> {
        let (line, value) = stored.strip_prefix(STAMP_PREFIX)?.split_once('\n')?;
        let (writer, sequence) = line.split_once(' ')?;
        let stamp = Self {
            writer: writer.to_owned(),
            sequence: sequence.parse().ok()?,
        };
        Some((stamp, value))
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.writer, self.sequence)
    }
}
