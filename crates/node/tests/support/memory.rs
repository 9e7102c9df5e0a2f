//! Store in memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
};

use futures_util::FutureExt;
use tokio::time::{Duration, Instant, sleep, sleep_until};
use toucanquay_model::{Error, ErrorKind};
use toucanquay_node::{
    Store,
    store::{Call, Commit, Event, Item, Page, Reply, Transaction, Watch},
};

/// Interval at which a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Store in memory, to which tests write as other writers do. Clones share the items.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    compacted_revision: u64,
    /// Keys whose entries can't be read until they are written again.
    unreadable: BTreeSet<String>,
    /// The next lists of this prefix have an entry whose key can't be read.
    keyless_prefix: Option<String>,
    /// Lists of this prefix hide the keys of the entries that can't be read.
    hidden_prefix: Option<String>,
    commits: Vec<Transaction>,
    /// Keys that were read, one by one.
    reads: Vec<String>,
    /// Key whose writes are slow, and the time that they take.
    slow_key: Option<(String, Duration)>,
    /// Keys whose next write or removal is late, and its delay.
    late_keys: BTreeMap<String, Duration>,
    /// Number of transactions that were received.
    transactions: usize,
}

impl Memory {
    /// Returns a client of the store.
    pub fn store(&self) -> Store {
        let memory = self.clone();
        Store::new(move |call, deadline| {
            let memory = memory.clone();
            async move { memory.execute(call, deadline).await }.boxed()
        })
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, value.to_vec());
    }

    /// Makes an entry unreadable until it is written again.
    pub fn put_unreadable(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, Vec::new());
        state.unreadable.insert(key.to_owned());
    }

    /// Returns whether a key exists and can be read.
    pub fn is_readable(&self, key: &str) -> bool {
        matches!(self.lock().get(key), Ok(Some(_)))
    }

    /// Makes the key of an entry in the lists of a prefix unreadable.
    pub fn hide(&self, key: &str, prefix: &str) {
        let mut state = self.lock();
        state.items.remove(key);
        state.keyless_prefix = Some(prefix.to_owned());
    }

    /// Makes the keys of the entries unreadable that can't be read in the lists of a prefix.
    pub fn hide_key(&self, prefix: &str) {
        self.lock().hidden_prefix = Some(prefix.to_owned());
    }

    /// Adds an entry whose key can't be read to the lists of a prefix.
    pub fn add_keyless_entry(&self, prefix: &str) {
        self.lock().keyless_prefix = Some(prefix.to_owned());
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
    }

    /// Removes a key, and forgets the history.
    pub fn remove_and_compact(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        state.compacted_revision = state.revision;
    }

    pub fn get(&self, key: &str) -> Option<Item> {
        self.lock().items.get(key).cloned()
    }

    /// Lets writes of a key take some time.
    pub fn slow_down_writes(&self, key: &str, delay: Duration) {
        self.lock().slow_key = Some((key.to_owned(), delay));
    }

    /// Carries the next write or removal of a key out after a delay, if its conditions hold then, and
    /// doesn't answer it.
    pub fn delay_next_write(&self, key: &str, delay: Duration) {
        self.lock().late_keys.insert(key.to_owned(), delay);
    }

    /// Returns whether a late write or removal of the key is still to come.
    pub fn has_late_write(&self, key: &str) -> bool {
        self.lock().late_keys.contains_key(key)
    }

    /// Returns the number of transactions that were received, including those with a conflict.
    pub fn transactions(&self) -> usize {
        self.lock().transactions
    }

    /// Returns how often a key was read by itself.
    pub fn reads(&self, key: &str) -> usize {
        let state = self.lock();
        state.reads.iter().filter(|read| *read == key).count()
    }

    /// Returns the number of committed transactions that write a key.
    pub fn writes(&self, key: &str) -> usize {
        let state = self.lock();
        let writes_key =
            |transaction: &&Transaction| transaction.puts.iter().any(|put| put.0 == key);
        state.commits.iter().filter(writes_key).count()
    }

    async fn execute(&self, call: Call, deadline: Instant) -> Result<Reply, Error> {
        match call {
            Call::Get { key } => {
                let mut state = self.lock();
                state.reads.push(key.clone());
                state.get(&key).map(Reply::Item)
            }
            Call::Page { prefix, after } => Ok(Reply::Page(self.lock().page(&prefix, &after))),
            Call::Watch { prefix, after } => loop {
                if let Some(watch) = self.lock().watch(&prefix, after, deadline) {
                    return Ok(Reply::Watch(watch));
                }
                sleep(POLL_INTERVAL).await;
            },
            Call::Commit(transaction) => {
                let (delay, late_by) = self.lock().receive(&transaction);
                if let Some(late_by) = late_by {
                    tokio::spawn(self.clone().commit_late(transaction, late_by));
                    sleep_until(deadline).await;
                    return Err(Error::new(ErrorKind::OutcomeUnknown));
                }
                sleep(delay).await;
                self.lock().commit(transaction).map(Reply::Commit)
            }
        }
    }

    async fn commit_late(self, transaction: Transaction, delay: Duration) {
        sleep(delay).await;
        // Nobody waits for the outcome.
        let _ = self.lock().commit(transaction);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}

impl State {
    fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        if self.unreadable.contains(key) {
            return Err(Error::new(ErrorKind::Protocol).field(key));
        }
        Ok(self.items.get(key).cloned())
    }

    /// Returns the time that a transaction takes, and the delay after which it is carried out if it
    /// is late.
    fn receive(&mut self, transaction: &Transaction) -> (Duration, Option<Duration>) {
        self.transactions += 1;
        let puts = || transaction.puts.iter().map(|put| &put.0);
        let slow = self.slow_key.as_ref();
        let slow = slow.filter(|(slow_key, _)| puts().any(|key| key == slow_key));
        let mut keys = puts().chain(&transaction.removals);
        let late_key = keys.find(|key| self.late_keys.contains_key(*key));
        let late_by = late_key.and_then(|key| self.late_keys.remove(key));
        (slow.map_or(Duration::ZERO, |(_, delay)| *delay), late_by)
    }

    fn page(&self, prefix: &str, after: &str) -> Page {
        let matches = |item: &&Item| item.key.starts_with(prefix) && item.key.as_str() > after;
        let matching = self.items.values().filter(matches).cloned();
        let (unreadable, items): (Vec<Item>, Vec<Item>) =
            matching.partition(|item| self.unreadable.contains(&item.key));
        let keyless = self.keyless_prefix.iter().filter(|other| *other == prefix);
        let is_hidden = self.hidden_prefix.as_deref() == Some(prefix);
        let key = |item: Item| if is_hidden { String::new() } else { item.key };
        let unreadable = unreadable.into_iter().map(key);
        Page {
            items,
            unreadable: unreadable.chain(keyless.map(|_| String::new())).collect(),
            has_more: false,
            revision: self.revision,
        }
    }

    fn watch(&self, prefix: &str, after: u64, deadline: Instant) -> Option<Watch> {
        if after < self.compacted_revision {
            return Some(Watch::Compacted);
        }
        let matches = |event: &&Event| match event {
            Event::Written(item) => {
                let is_readable = !self.unreadable.contains(&item.key);
                is_readable && item.key.starts_with(prefix) && item.revision > after
            }
            Event::Removed { key, revision } => key.starts_with(prefix) && *revision > after,
        };
        let events: Vec<Event> = self.events.iter().filter(matches).cloned().collect();
        let is_due = !events.is_empty() || Instant::now() >= deadline;
        is_due.then_some(Watch::Events {
            events,
            revision: self.revision,
        })
    }

    fn commit(&mut self, transaction: Transaction) -> Result<Commit, Error> {
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let mut conditions = transaction.conditions.iter();
        if !conditions.all(|(key, expected)| revision(key) == *expected) {
            let keys = transaction.conditions.iter().map(|(key, _)| key);
            let (unreadable, readable): (Vec<&String>, Vec<&String>) =
                keys.partition(|key| self.unreadable.contains(key.as_str()));
            let items = readable.into_iter().filter_map(|key| self.items.get(key));
            return Ok(Commit::Conflict {
                items: items.cloned().collect(),
                unreadable: unreadable.into_iter().cloned().collect(),
            });
        }
        self.revision += 1;
        for key in &transaction.removals {
            self.remove(key);
        }
        for (key, value) in &transaction.puts {
            self.write(key, value.clone());
        }
        self.commits.push(transaction);
        Ok(Commit::Done(self.revision))
    }

    fn write(&mut self, key: &str, value: Vec<u8>) {
        self.unreadable.remove(key);
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event::Written(item));
    }

    fn remove(&mut self, key: &str) {
        self.unreadable.remove(key);
        self.items.remove(key);
        self.events.push(Event::Removed {
            key: key.to_owned(),
            revision: self.revision,
        });
    }
}
