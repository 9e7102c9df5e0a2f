//! Stand-in for the platform's store: items, watches and transactions.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Server},
    json::{Json, decode_base64, encode_base64, object},
};

/// `valueBytes`: a longer value is not accepted.
const VALUE_BYTES: usize = 1_048_576;
/// Number of items in one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// Value in Base64.
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changed keys by revision; `None` for a removal.
    changes: Vec<(u64, String, Option<Item>)>,
    revision: u64,
}

/// What goes wrong at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trouble {
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It doesn't answer.
    Silent,
    /// Each third transaction is carried out, but not answered.
    Lost,
}

/// A running store.
pub struct Store {
    trouble: Arc<Mutex<Trouble>>,
    shared: Arc<(Mutex<State>, Condvar)>,
    pub server: Server,
}

impl Store {
    pub fn start() -> Self {
        let state = State {
            revision: 1,
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = shared.clone();
        let trouble = Arc::new(Mutex::new(Trouble::default()));
        let (present, count) = (trouble.clone(), AtomicU64::new(0));
        let handler = Arc::new(move |request: &Request| {
            let trouble = || *present.lock().expect("no panic");
            match trouble() {
                Trouble::Busy => return Some((503, "{}".to_owned())),
                Trouble::Silent => {
                    while trouble() == Trouble::Silent {
                        thread::sleep(Duration::from_millis(20));
                    }
                    return None;
                }
                Trouble::None | Trouble::Lost => {}
            }
            let answer = respond(&served, request);
            let is_lost = trouble() == Trouble::Lost
                && request.path == "/v1/kv-txn"
                && count.fetch_add(1, Ordering::Relaxed) % 3 == 0;
            (!is_lost).then_some(answer)
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, handler).expect("a free port");
        Self {
            trouble,
            shared,
            server,
        }
    }

    pub fn set_trouble(&self, trouble: Trouble) {
        *self.trouble.lock().expect("no panic") = trouble;
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        state.write(key, Some(encode_base64(value.as_bytes())), revision);
        self.shared.1.notify_all();
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().expect("no panic");
        let bytes = decode_base64(&state.items.get(key)?.value);
        String::from_utf8(bytes).ok()
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<String>, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|value| Item {
            value,
            revision,
            created,
        });
        match &item {
            Some(item) => {
                self.items.insert(key.to_owned(), item.clone());
            }
            None => {
                self.items.remove(key);
            }
        }
        self.changes.push((revision, key.to_owned(), item));
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    object([
        ("key", key.into()),
        ("value", item.value.clone().into()),
        ("rev", item.revision.into()),
        ("created", item.created.into()),
        ("lease", 0_u64.into()),
    ])
}

fn respond(shared: &(Mutex<State>, Condvar), request: &Request) -> (u16, String) {
    let (status, body) = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/kv-key") => get(shared, &request.query("key")),
        ("GET", "/v1/kv-range") => range(shared, &request.query("prefix"), &request.query("after")),
        ("GET", "/v1/kv-watch") => watch(shared, request),
        ("POST", "/v1/kv-txn") => commit(shared, &request.body),
        _ => (404, object([])),
    };
    (status, body.print())
}

fn get((state, _): &(Mutex<State>, Condvar), key: &str) -> (u16, Json) {
    let state = state.lock().expect("no panic");
    match state.items.get(key) {
        Some(item) => (200, item_json(key, item)),
        None => (404, object([])),
    }
}

fn range((state, _): &(Mutex<State>, Condvar), prefix: &str, after: &str) -> (u16, Json) {
    let state = state.lock().expect("no panic");
    let is_listed = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
    let keys: Vec<&String> = state.items.keys().filter(is_listed).collect();
    let items = keys.iter().take(PAGE_ITEMS);
    let items: Vec<Json> = items
        .map(|key| item_json(key, &state.items[*key]))
        .collect();
    let body = object([
        ("items", items.into()),
        ("hasMore", (keys.len() > PAGE_ITEMS).into()),
        ("atRev", state.revision.into()),
    ]);
    (200, body)
}

fn watch((state, changed): &(Mutex<State>, Condvar), request: &Request) -> (u16, Json) {
    let prefix = request.query("prefix");
    let after: u64 = request.query("after").parse().unwrap_or(0);
    let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
    let mut state = state.lock().expect("no panic");
    loop {
        let changes = state.changes.iter();
        let matching = changes.filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
        let events: Vec<Json> = matching
            .map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item),
                None => object([
                    ("key", key.as_str().into()),
                    ("rev", (*revision).into()),
                    ("tombstone", true.into()),
                ]),
            })
            .collect();
        let now = Instant::now();
        if !events.is_empty() || now >= deadline {
            let body = object([("events", events.into()), ("atRev", state.revision.into())]);
            return (200, body);
        }
        state = changed
            .wait_timeout(state, deadline - now)
            .expect("no panic")
            .0;
    }
}

fn commit((state, changed): &(Mutex<State>, Condvar), body: &str) -> (u16, Json) {
    let transaction = Json::parse(body).unwrap_or(Json::Null);
    let writes = transaction.get("writes").items();
    let is_oversized =
        |write: &Json| decode_base64(write.get("value").as_str()).len() > VALUE_BYTES;
    if writes.iter().any(is_oversized) {
        return (400, object([]));
    }
    let mut state = state.lock().expect("no panic");
    let conditions = transaction.get("ifRev").items();
    let is_met = |condition: &Json| {
        let item = state.items.get(condition.get("key").as_str());
        let revision = item.map_or(0, |item| item.revision);
        condition.get("rev").as_u64().unwrap_or(0) == revision
    };
    if !conditions.iter().all(is_met) {
        let keys = conditions
            .iter()
            .map(|condition| condition.get("key").as_str());
        let items = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
        let items: Vec<Json> = items.collect();
        return (412, object([("items", items.into())]));
    }
    state.revision += 1;
    let revision = state.revision;
    for write in transaction.get("writes").items() {
        let value = write.get("value").as_str().to_owned();
        state.write(write.get("key").as_str(), Some(value), revision);
    }
    for key in transaction.get("remove").items() {
        state.write(key.as_str(), None, revision);
    }
    changed.notify_all();
    (200, object([("rev", revision.into())]))
}
