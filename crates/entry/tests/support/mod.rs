//! Fixtures: entries with a stand-in store, and fake companions with scripted behavior.

pub mod behavior;
pub mod companion;
pub mod script;

use std::{sync::Arc, time::Duration};

use slog::{Discard, Logger, o};
use toucanquay_entry::{Entry, Settings};
use toucanquay_standin::Store;

pub use behavior::Behavior;
pub use companion::Companion;
pub use script::Script;

/// Timeout of each wait in a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

pub const SERVICE: &str = "lookup";
pub const TEAM: &str = "desk";

const SECTION: &str = "[services.lookup]\ndeadline_ms = 5000\n";

/// Entries that share a store and have the same companions.
pub struct Cluster {
    pub store: Store,
    pub entries: Vec<Entry>,
    pub companions: Vec<Companion>,
    pub script: Arc<Script>,
    http: reqwest::Client,
}

/// Response to a client.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    /// The complete body, or `None` if it was truncated.
    pub body: Option<String>,
}

impl Reply {
    /// Returns the status, the error kind and whether the request ran.
    pub fn refusal(&self) -> (u16, String, String) {
        let body = self.body.as_deref().unwrap();
        let json: serde_json::Value = serde_json::from_str(body).unwrap();
        let text = |name: &str| json[name].as_str().unwrap().to_owned();
        (self.status, text("kind"), text("run"))
    }

    pub fn text(&self) -> &str {
        assert_eq!(self.status, 200, "{self:?}");
        self.body.as_deref().unwrap()
    }
}

pub async fn start_cluster(entries: usize, companions: usize) -> Cluster {
    let store = Store::start().await.unwrap();
    store.write(&format!("config/section/{TEAM}"), SECTION);
    let script = Arc::new(Script::default());
    let mut cluster = Cluster {
        store,
        entries: Vec::new(),
        companions: Vec::new(),
        script,
        http: reqwest::Client::builder()
            .no_proxy()
            .timeout(WAIT_TIMEOUT)
            .build()
            .unwrap(),
    };
    for number in 0..entries {
        let settings = Settings::new(format!("e{number}"), "a", cluster.store.address())
            .store_calls_per_second(1_000);
        let log = Logger::root(Discard, o!());
        cluster
            .entries
            .push(Entry::start(settings, log).await.unwrap());
    }
    wait_until(|| cluster.entries.iter().all(Entry::is_ready)).await;
    let peers: Vec<_> = cluster.entries.iter().map(Entry::peer_address).collect();
    for number in 0..companions {
        let name = format!("w{number}");
        let companion = Companion::start(&name, &peers, cluster.script.clone()).await;
        cluster.companions.push(companion);
    }
    cluster
}

impl Cluster {
    /// Sends a request through the entry with index `entry` and reads the complete response.
    pub async fn send(&self, entry: usize, method: &str, path: &str, fields: &Fields) -> Reply {
        let address = self.entries[entry].client_address();
        let url = format!("http://{address}/services/{SERVICE}{path}");
        let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
        let mut request = self.http.request(method, url);
        for (name, value) in fields {
            request = request.header(*name, *value);
        }
        let response = request.send().await.unwrap();
        Reply {
            status: response.status().as_u16(),
            body: response.text().await.ok(),
        }
    }
}

/// Header fields of a request.
pub type Fields = [(&'static str, &'static str)];

/// Waits until `is_true` returns true, at most [`WAIT_TIMEOUT`].
pub async fn wait_until(is_true: impl Fn() -> bool) {
    let wait = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the condition becomes true before the timeout");
}
