//! Expected room on one host.

use toucanquay_model::{Resources, Time};

use super::Balance;

/// Room on one host, now and when the attempts there are expected to end.
#[derive(Debug, Clone, Default)]
pub struct Room {
    balance: Balance,
    /// Resources that become free, by the expected time, earliest first.
    ends: Vec<(Time, Resources)>,
}

impl Room {
    /// Creates a room with free resources and the expected ends of the attempts in it. Attempts that
    /// don't end by themselves are left out.
    #[must_use]
    pub fn new(free: Resources, ends: impl IntoIterator<Item = (Time, Resources)>) -> Self {
        let mut balance = Balance::default();
        balance.add(&free);
        let mut ends: Vec<(Time, Resources)> = ends.into_iter().collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        Self { balance, ends }
    }

    /// Corrects the free resources after attempts were started or withdrawn.
    pub const fn correct(&mut self, former_free: &Resources, free: &Resources) {
        self.balance.subtract(former_free);
        self.balance.add(free);
    }

    /// Returns the expected time from which a task with this demand has room: [`Time::ZERO`] if it
    /// has room now, `None` if it never has.
    pub(super) fn free_at(&self, demand: &Resources) -> Option<Time> {
        let mut balance = self.balance;
        if balance.covers(demand) {
            return Some(Time::ZERO);
        }
        for (at, freed) in &self.ends {
            balance.add(freed);
            if balance.covers(demand) {
                return Some(*at);
            }
        }
        None
    }

    /// Withdraws a promise to a task that ends at `end_at`.
    pub(super) fn withdraw(&mut self, demand: &Resources, end_at: Time) {
        self.balance.add(demand);
        let mut ends = self.ends.iter();
        if let Some(index) = ends.position(|end| *end == (end_at, *demand)) {
            self.ends.remove(index);
        }
    }

    /// Promises room to a task that ends at `end_at`.
    pub(super) fn promise(&mut self, demand: &Resources, end_at: Time) {
        self.balance.subtract(demand);
        let index = self.ends.partition_point(|(at, _)| *at <= end_at);
        self.ends.insert(index, (end_at, *demand));
    }
}
