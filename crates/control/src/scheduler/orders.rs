//! Sessions with agents and the orders sent to them.

use std::collections::BTreeSet;

use toucanquay_model::{
    Time,
    graph::Task,
    session::{Orders, Start, Stop},
};

use super::{Scheduler, host::Host, key::HostKey};

/// Maximum size of the starts in one message, in bytes. A message has at least one start. It is far
/// below the maximum size of a frame, and a slow link sends it well within a session's timeout.
const STARTS_BYTES_MAX: usize = 256 * 1024;

/// Upper bound for the size of a start without its payload and checkpoint, in bytes.
const START_BYTES: usize = 128;

/// Maximum number of stops, of profiles and of effects in one message.
const ITEMS_MAX: usize = 2_048;

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
        let starts_until = self.evacuations.starts_until(host, &self.settings);
        let starts = take_starts(&mut host.starts);
        let unsent: BTreeSet<Task> = host.starts.iter().map(|start| start.task).collect();
        let stops = take_stops(&mut host.stops, &unsent);
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
            starts_until,
            starts,
            stops,
            profiles: take_items(&mut host.profiles),
            effects: take_items(&mut host.effects),
        };
        let unsent_stops = host.stops.iter().map(|stop| stop.task);
        let unsent: BTreeSet<Task> = unsent.into_iter().chain(unsent_stops).collect();
        for key in &host.runs {
            let Some(run) = self.runs.get_mut(*key) else {
                continue;
            };
            let job = self.jobs.get(run.job);
            let is_unsent = !unsent.is_empty()
                && job.is_some_and(|job| unsent.contains(&job.task_id(run.place)));
            if !is_unsent {
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

/// Takes the first starts that fit in one message. The payload of a job is sent once.
fn take_starts(starts: &mut Vec<Start>) -> Vec<Start> {
    let mut bytes = 0;
    let mut last_job = None;
    let mut fits = |start: &Start| {
        let job = start.task.job;
        if last_job.replace(job) != Some(job) {
            bytes += start.payload.len();
        }
        bytes += START_BYTES + start.checkpoint.as_ref().map_or(0, String::len);
        bytes <= STARTS_BYTES_MAX
    };
    let fitting = starts.iter().take_while(|start| fits(start)).count();
    let count = fitting.max(1).min(starts.len());
    starts.drain(..count).collect()
}

/// Takes the stops for one message. A stop waits for the message with its start: if it came before,
/// the start would take effect.
fn take_stops(stops: &mut Vec<Stop>, unsent_starts: &BTreeSet<Task>) -> Vec<Stop> {
    let mut taken = 0;
    let take = |stop: &mut Stop| {
        let is_taken = taken < ITEMS_MAX && !unsent_starts.contains(&stop.task);
        taken += usize::from(is_taken);
        is_taken
    };
    stops.extract_if(.., take).collect()
}

/// Takes the first items, as many as one message has.
fn take_items<T>(items: &mut Vec<T>) -> Vec<T> {
    let count = items.len().min(ITEMS_MAX);
    items.drain(..count).collect()
}
