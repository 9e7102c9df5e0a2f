//! Sessions with agents and the orders sent to them.

use toucanquay_model::{Time, session::Orders};

use super::{Scheduler, host::Host, key::HostKey};

impl Scheduler {
    /// Begins a session with a host's agent. Discards the pending orders of the former session.
    pub fn connect(&mut self, name: &str) {
        let key = self.host_key(name);
        let host = &mut self.hosts[key];
        host.is_connected = true;
        host.is_first_update = true;
        host.update_number = 0;
        host.orders_sent = 0;
        host.orders_sent_at = Time::ZERO;
        host.starts.clear();
        host.stops.clear();
        host.profiles.clear();
        host.effects.clear();
        host.effects_sent.clear();
        host.acknowledged_sent = 0;
        host.crashes_acknowledged_sent = 0;
    }

    /// Ends the session with a host's agent.
    pub fn disconnect(&mut self, name: &str) {
        if let Some(host) = self
            .host_keys
            .get(name)
            .and_then(|key| self.hosts.get_mut(*key))
        {
            host.is_connected = false;
        }
    }

    /// Returns the names of the hosts that have pending orders or are due a heartbeat.
    #[must_use]
    pub fn due_hosts(&self, now: Time) -> Vec<String> {
        let is_due = |host: &&Host| {
            let next_at = host
                .orders_sent_at
                .plus_micros(self.settings.heartbeat_interval_micros);
            host.is_connected && host.update_number > 0 && (host.has_orders() || now >= next_at)
        };
        let due = self.hosts.values().filter(is_due);
        due.map(|host| host.name.clone()).collect()
    }

    /// Returns the next orders for a host. Returns `None` without ownership, or before the first
    /// update of the session.
    pub fn orders(&mut self, name: &str, now: Time) -> Option<Orders> {
        if !self.is_owner(now) {
            return None;
        }
        let key = *self.host_keys.get(name)?;
        let host = self.hosts.get_mut(key)?;
        if !host.is_connected || host.update_number == 0 {
            return None;
        }
        host.orders_sent += 1;
        host.orders_sent_at = now;
        host.acknowledged_sent = host.acknowledged;
        host.crashes_acknowledged_sent = host.crashes_acknowledged;
        let orders = Orders {
            epoch: self.epoch,
            number: host.orders_sent,
            update: host.update_number,
            stamp: host.update_stamp,
            worker: host.worker_incarnation,
            acknowledged: host.acknowledged,
            crashes_acknowledged: host.crashes_acknowledged,
            starts: std::mem::take(&mut host.starts),
            stops: std::mem::take(&mut host.stops),
            profiles: std::mem::take(&mut host.profiles),
            effects: std::mem::take(&mut host.effects),
        };
        for key in &host.runs {
            if let Some(run) = self.runs.get_mut(*key) {
                run.orders_number.get_or_insert(orders.number);
            }
        }
        Some(orders)
    }

    /// Records that more tasks may fit on a host than before.
    pub(super) fn mark_host_changed(&mut self, key: HostKey) {
        let round = self.placement_round + 1;
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        host.headrooms.take();
        if host.changed_in == round {
            return;
        }
        if let Some(hosts) = self.changed_hosts.get_mut(&host.changed_in) {
            hosts.remove(&key);
            if hosts.is_empty() {
                self.changed_hosts.remove(&host.changed_in);
            }
        }
        host.changed_in = round;
        self.changed_hosts.entry(round).or_default().insert(key);
    }

    /// Returns the hosts whose last change is later than a placement round.
    pub(super) fn hosts_changed_after(&self, round: u64) -> impl Iterator<Item = HostKey> {
        let later = self.changed_hosts.range(round + 1..);
        later.flat_map(|(_, hosts)| hosts.iter().copied())
    }

    pub(super) fn host_key(&mut self, name: &str) -> HostKey {
        if let Some(key) = self.host_keys.get(name) {
            return *key;
        }
        let key = self.hosts.insert(Host::new(name.to_owned()));
        self.host_keys.insert(name.to_owned(), key);
        key
    }
}
