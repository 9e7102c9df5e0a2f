//! Stand-in for the platform's store.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Request, Server},
    json::{Value, decode_base64, encode_base64, object},
};

/// Maximum number of items and of bytes of one page.
const PAGE_ITEMS_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1 << 20;

/// Maximum size of a value, in bytes.
const VALUE_BYTES_MAX: usize = 1_048_576;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes in the order of their revisions; without an item, a removal.
    changes: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    writes: u64,
    late_writes: u64,
}

/// What happens to a transaction.
pub enum Fate {
    Normal,
    /// It is carried out after this time if its condition still holds, and isn't answered.
    Late(Duration),
}

type Fates = dyn Fn(&Value) -> Fate + Send + Sync;

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    fates: Arc<Mutex<Option<Box<Fates>>>>,
    pub address: SocketAddr,
    server: Arc<Server>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let fates: Arc<Mutex<Option<Box<Fates>>>> = Arc::default();
        let (shared, shared_fates) = (state.clone(), fates.clone());
        let server = Server::start("127.0.0.1:0".parse().unwrap(), move |request| {
            answer(&shared, &shared_fates, request)
        })?;
        let address = server.address;
        Ok(Self {
            state,
            fates,
            address,
            server: Arc::new(server),
        })
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let revision = state.revision + 1;
        state.write(key, encode_base64(value.as_bytes()), revision);
        state.revision = revision;
        self.state.1.notify_all();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let item = state.items.get(key)?;
        String::from_utf8(decode_base64(&item.value)?).ok()
    }

    /// Sets what decides about the fate of transactions.
    pub fn set_fates(&self, fates: impl Fn(&Value) -> Fate + Send + Sync + 'static) {
        *self.fates.lock().unwrap() = Some(Box::new(fates));
    }

    pub fn clear_fates(&self) {
        *self.fates.lock().unwrap() = None;
    }

    /// Returns the numbers of all transactions and of late ones.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state.0.lock().unwrap();
        (state.writes, state.late_writes)
    }

    pub fn close(&self) {
        self.server.close();
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn item(&self, key: &str) -> Option<Value> {
        self.items.get(key).map(|item| item_value(key, item))
    }
}

fn item_value(key: &str, item: &Item) -> Value {
    object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("rev", item.revision.into()),
        ("created", item.created.into()),
        ("lease", 0.into()),
    ])
}

fn send(status: u16, body: Value) -> Answer {
    Answer::Send(status, body.to_string())
}

fn answer(
    shared: &Arc<(Mutex<State>, Condvar)>,
    fates: &Mutex<Option<Box<Fates>>>,
    request: &Request,
) -> Answer {
    let parameter = |name: &str| request.parameter(name).unwrap_or_default();
    match request.path.as_str() {
        "/v1/kv-key" => {
            let state = shared.0.lock().unwrap();
            match state.item(&parameter("key")) {
                Some(item) => send(200, item),
                None => send(404, object([])),
            }
        }
        "/v1/kv-range" => range(
            &shared.0.lock().unwrap(),
            &parameter("prefix"),
            &parameter("after"),
        ),
        "/v1/kv-watch" => {
            let after = parameter("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
            watch(shared, &parameter("prefix"), after, Instant::now() + wait)
        }
        "/v1/kv-txn" => {
            let Some(transaction) = Value::parse(&request.body) else {
                return send(400, object([]));
            };
            shared.0.lock().unwrap().writes += 1;
            let fate = match &*fates.lock().unwrap() {
                Some(decide) => decide(&transaction),
                None => Fate::Normal,
            };
            match fate {
                Fate::Normal => {
                    let (status, body) = commit(&mut shared.0.lock().unwrap(), &transaction);
                    shared.1.notify_all();
                    send(status, body)
                }
                Fate::Late(delay) => {
                    shared.0.lock().unwrap().late_writes += 1;
                    let shared = shared.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        commit(&mut shared.0.lock().unwrap(), &transaction);
                        shared.1.notify_all();
                    });
                    Answer::Silence
                }
            }
        }
        _ => send(404, object([])),
    }
}

fn range(state: &State, prefix: &str, after: &str) -> Answer {
    let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
    for (key, item) in state.items.range(prefix.to_owned()..) {
        if !key.starts_with(prefix) {
            break;
        }
        if key.as_str() <= after {
            continue;
        }
        if items.len() >= PAGE_ITEMS_MAX || bytes >= PAGE_BYTES_MAX {
            has_more = true;
            break;
        }
        bytes += item.value.len();
        items.push(item_value(key, item));
    }
    let body = object([
        ("items", items.into()),
        ("hasMore", has_more.into()),
        ("atRev", state.revision.into()),
    ]);
    send(200, body)
}

fn watch(shared: &(Mutex<State>, Condvar), prefix: &str, after: u64, deadline: Instant) -> Answer {
    let mut state = shared.0.lock().unwrap();
    loop {
        let first = state
            .changes
            .partition_point(|(revision, ..)| *revision <= after);
        let changes = state.changes[first..].iter();
        let changes = changes.filter(|(_, key, _)| key.starts_with(prefix));
        let events: Vec<Value> = changes
            .map(|(revision, key, item)| match item {
                Some(item) => item_value(key, item),
                None => object([
                    ("key", key.as_str().into()),
                    ("rev", (*revision).into()),
                    ("tombstone", true.into()),
                ]),
            })
            .collect();
        let left = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let revision = state.revision.into();
            return send(
                200,
                object([("events", events.into()), ("atRev", revision)]),
            );
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}

fn commit(state: &mut State, transaction: &Value) -> (u16, Value) {
    let conditions = transaction.get("ifRev").list();
    let key_of = |condition: &Value| condition.get("key").text().unwrap_or_default().to_owned();
    let holds = |condition: &Value| {
        let revision = state
            .items
            .get(&key_of(condition))
            .map_or(0, |item| item.revision);
        condition.get("rev").integer() == Some(revision)
    };
    if !conditions.iter().all(holds) {
        let items: Vec<Value> = conditions
            .iter()
            .filter_map(|condition| state.item(&key_of(condition)))
            .collect();
        return (412, object([("items", items.into())]));
    }
    let writes = transaction.get("writes").list();
    let is_too_large = |write: &Value| {
        let value = write.get("value").text().unwrap_or_default();
        value.len() / 4 * 3 > VALUE_BYTES_MAX + 2
    };
    let removals = transaction.get("remove").list();
    if conditions.len() + writes.len() + removals.len() > 32 || writes.iter().any(is_too_large) {
        return (400, object([]));
    }
    let revision = state.revision + 1;
    for write in writes {
        let value = write.get("value").text().unwrap_or_default().to_owned();
        state.write(&key_of(write), value, revision);
    }
    for key in removals.iter().filter_map(Value::text) {
        if state.items.remove(key).is_some() {
            state.changes.push((revision, key.to_owned(), None));
        }
    }
    state.revision = revision;
    (200, object([("rev", revision.into())]))
}
