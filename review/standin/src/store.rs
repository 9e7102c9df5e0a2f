//! Stand-in of the platform's metadata store, as PROTOCOL.md tells: one revision counter,
//! transactions with conditions, watches. It loses nothing and answers in 4 ms.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    json::{Json, quote},
};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const ITEMS_PER_PAGE: usize = 500;
const BYTES_PER_PAGE: usize = 1_000_000;
const VALUE_BYTES_MAX: usize = 1_048_576;
const TXN_ENTRIES_MAX: usize = 32;

#[derive(Debug, Clone)]
struct Item {
    /// Standard Base64 with padding, as it was written.
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Events as they are sent, with their keys and revisions.
    history: Vec<(u64, String, String)>,
    is_down: bool,
}

/// A running store. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        let store = Self::default();
        store.state().rev = 100;
        let served = store.clone();
        http::serve(listener, move |request| served.answer(request));
        Ok(store)
    }

    /// While the store is down it answers 503 to each call and does nothing.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Writes a key of the operator.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.state();
        state.rev += 1;
        state.write(key, encode_base64(text.as_bytes()));
        self.shared.1.notify_all();
    }

    /// Returns the number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn answer(&self, request: &Request) -> Answer {
        thread::sleep(ANSWER_TIME);
        if self.state().is_down {
            return (503, "{}".to_owned());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.get(request.query("key")),
            ("GET", "/v1/kv-range") => self.range(request.query("prefix"), request.query("after")),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn get(&self, key: &str) -> Answer {
        let state = self.state();
        match state.items.get(key) {
            Some(item) => (200, item.json(key, state.rev)),
            None => (404, format!("{{\"atRev\":{}}}", state.rev)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let state = self.state();
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, item) in &state.items {
            if !key.starts_with(prefix) || key.as_str() <= after && !after.is_empty() {
                continue;
            }
            if items.len() >= ITEMS_PER_PAGE || bytes > BYTES_PER_PAGE {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item.json(key, state.rev));
        }
        let items = items.join(",");
        (
            200,
            format!(
                "{{\"items\":[{items}],\"hasMore\":{has_more},\"atRev\":{}}}",
                state.rev
            ),
        )
    }

    fn watch(&self, request: &Request) -> Answer {
        let number = |name| request.query(name).parse::<u64>().unwrap_or(0);
        let (prefix, after) = (request.query("prefix"), number("after"));
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.state();
        loop {
            if state.is_down {
                return (503, "{}".to_owned());
            }
            let events = state.history.iter();
            let events: Vec<&str> = events
                .filter(|(rev, key, _)| *rev > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"atRev\":{}}}", state.rev),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no thread panics while it holds the lock").0;
        }
    }

    fn transact(&self, body: &str) -> Answer {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let (conditions, writes) = (call.get("ifRev").list(), call.get("writes").list());
        let removals = call.get("remove").list();
        let is_too_large = |write: &Json| write.get("value").text().len() / 4 * 3 > VALUE_BYTES_MAX;
        if conditions.len() + writes.len() + removals.len() > TXN_ENTRIES_MAX
            || writes.iter().any(is_too_large)
        {
            return (400, "{}".to_owned());
        }
        let mut state = self.state();
        let holds = |condition: &Json| {
            let rev = state
                .items
                .get(condition.get("key").text())
                .map_or(0, |item| item.rev);
            condition.get("rev").number() == Some(rev)
        };
        if !conditions.iter().all(holds) {
            let keys = conditions
                .iter()
                .map(|condition| condition.get("key").text());
            let items: Vec<String> = keys
                .filter_map(|key| Some(state.items.get(key)?.json(key, state.rev)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        state.rev += 1;
        for write in writes {
            state.write(
                write.get("key").text(),
                write.get("value").text().to_owned(),
            );
        }
        for key in removals {
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"rev\":{}}}", state.rev))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value,
            rev,
            created,
        };
        self.history
            .push((rev, key.to_owned(), item.json(key, rev)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let rev = self.rev;
            let event = format!(
                "{{\"key\":{},\"rev\":{rev},\"tombstone\":true}}",
                quote(key)
            );
            self.history.push((rev, key.to_owned(), event));
        }
    }
}

impl Item {
    fn json(&self, key: &str, at_rev: u64) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":0,\"atRev\":{at_rev}}}",
            quote(key),
            self.value,
            self.rev,
            self.created
        )
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            }
        }
    }
    text
}
