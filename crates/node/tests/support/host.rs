//! A companion that accepts sessions and reports no worker.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use futures_util::FutureExt;
use tokio::time::{Duration, Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use toucanquay_model::{Time, session::Update};
use toucanquay_node::entry::Registration;
use toucanquay_wire::{Frame, Server, Stream};

use super::{ANY_ADDRESS, entry::OWNER_TIMEOUT, log::Lines};

/// A companion that accepts sessions and reports no worker.
pub struct Host {
    name: String,
    address: SocketAddr,
    /// Number of sessions that were opened, and of those that are open.
    sessions: Arc<[AtomicUsize; 2]>,
    stop: CancellationToken,
}

impl Host {
    pub async fn start(name: &str) -> Self {
        let log = Lines::default().logger();
        let server = Server::bind(ANY_ADDRESS, log)
            .await
            .expect("a free address");
        let host = Self {
            name: name.to_owned(),
            address: server.address(),
            sessions: Arc::default(),
            stop: CancellationToken::new(),
        };
        let (name, sessions, stop) = (host.name.clone(), host.sessions.clone(), host.stop.clone());
        let serve = move |stream| {
            let session = serve_session(name.clone(), sessions.clone(), stream);
            stop.clone().run_until_cancelled_owned(session).map(|_| ())
        };
        tokio::spawn(server.run(host.stop.clone(), serve));
        host
    }

    pub fn registration(&self) -> Vec<u8> {
        let address = self.address;
        Registration {
            address,
            process: 1,
        }
        .to_bytes()
    }

    pub fn opened_sessions(&self) -> usize {
        self.sessions[0].load(Ordering::Relaxed)
    }

    pub fn is_open(&self) -> bool {
        self.sessions[1].load(Ordering::Relaxed) > 0
    }

    /// Returns whether a session is open within the timeout, or none if `is_open` is false.
    pub async fn becomes(&self, is_open: bool) -> bool {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_open() == is_open {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn serve_session(name: String, sessions: Arc<[AtomicUsize; 2]>, mut stream: Stream) {
    let Ok(Some(Frame::Session(epoch))) = stream.recv().await else {
        return;
    };
    for count in sessions.iter() {
        count.fetch_add(1, Ordering::Relaxed);
    }
    for number in 1.. {
        if stream
            .send(&Frame::Update(update(&name, epoch, number)))
            .await
            .is_err()
        {
            break;
        }
        // Orders are ignored. A closed stream ends the session.
        match timeout(Duration::from_millis(50), stream.recv()).await {
            Ok(Ok(Some(_))) | Err(_) => {}
            Ok(_) => break,
        }
    }
    sessions[1].fetch_sub(1, Ordering::Relaxed);
}

/// Returns an update of a companion without a worker.
pub fn update(name: &str, epoch: u64, number: u64) -> Update {
    Update {
        host: name.to_owned(),
        process: 1,
        number,
        stamp: Time::ZERO,
        epoch,
        applied: 0,
        is_settled: true,
        worker: None,
        is_worker_silent: false,
        has_sample: false,
        runs: Vec::new(),
        ends: Vec::new(),
        crashes: Vec::new(),
    }
}
