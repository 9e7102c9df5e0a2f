//! Expected room on the hosts of one rack.

use toucanquay_model::Resources;
use toucanquay_policy::locality::Forecast;

use super::key::HostKey;

/// Expected room on the hosts of one rack, as of one placement round.
#[derive(Debug, Default)]
pub(super) struct RackForecast {
    /// Hosts in the order of the forecast's rooms, with their free resources when these were last
    /// compared.
    pub(super) hosts: Vec<(HostKey, Resources)>,
    pub(super) forecast: Forecast,
}

impl RackForecast {
    /// Applies the starts since the last call.
    pub(super) fn correct(&mut self, free: impl Fn(HostKey) -> Resources) {
        for (index, (host, former_free)) in self.hosts.iter_mut().enumerate() {
            let free = free(*host);
            if let Some(room) = self.forecast.room_mut(index)
                && *former_free != free
            {
                room.correct(former_free, &free);
                *former_free = free;
            }
        }
    }
}
