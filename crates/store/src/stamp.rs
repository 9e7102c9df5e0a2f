//! Who wrote a value.

use std::fmt;

/// First characters of every value that a client writes.
const STAMP_PREFIX: &str = "toucanquay1 ";

/// Writer and number of a write, kept in the value's first line.
///
/// It tells a client whose answer was lost whether the value at a key is its own. The line is
/// shorter than JSON around an escaped value and leaves the 1 MB limit to the value.
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
    /// Id of the writer, with a part that differs between its runs.
    pub writer: String,
    /// Number of the write, counted by the writer.
    pub sequence: u64,
}

impl Stamp {
    /// Returns the text to store for `value`.
    #[must_use]
    pub fn encode(&self, value: &str) -> String {
        format!("{STAMP_PREFIX}{} {}\n{value}", self.writer, self.sequence)
    }

    /// Returns the stamp, if there is one, and the value of a stored text.
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
