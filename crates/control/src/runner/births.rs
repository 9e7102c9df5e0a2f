//! Start times of the worker's lives.

use smallvec::SmallVec;
use toucanquay_model::Incarnation;

/// Maximum number of former lives that are remembered.
const FORMER_MAX: usize = 8;

/// Start times of the worker's lives by its machine's time of day, which may be set back: a later
/// life may have started at an earlier time.
#[derive(Debug, Default)]
pub struct Births {
    /// Start time of the present life, or of the last one if that has ended.
    current: Incarnation,
    /// Latest start time of a life that was seen.
    latest: Incarnation,
    /// Start times of the last former lives.
    former: SmallVec<[Incarnation; FORMER_MAX]>,
}

impl Births {
    /// Returns the start time of the present life, or of the last one if that has ended.
    #[must_use]
    pub const fn current(&self) -> Incarnation {
        self.current
    }

    /// Returns whether a response is that of a later life than the present one. One with an earlier
    /// start time is if it answers a call that was sent after a response of the present life had
    /// arrived: both have answered at the same address, one after the other.
    #[must_use]
    pub fn is_later(&self, born: Incarnation, is_called_since: bool) -> bool {
        let is_new = born != self.current && !self.former.contains(&born);
        is_new && (born > self.latest || is_called_since)
    }

    /// Records the begin of a life.
    pub fn begin(&mut self, born: Incarnation) {
        if self.former.len() == FORMER_MAX {
            self.former.remove(0);
        }
        self.former.push(self.current);
        self.current = born;
        self.latest = self.latest.max(born);
    }
}
