//! A fake entry: replies to heartbeats and hands out sections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use toucanquay_wire::{
    Frame, Server, Stream,
    heartbeat::{Beat, Reply},
    section,
};

/// A fake entry, and what it has received.
#[derive(Debug)]
pub struct Entry {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _stop: DropGuard,
    _run: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct State {
    beats: Vec<Beat>,
    reply: Reply,
    sections: Option<section::Reply>,
}

impl Entry {
    pub async fn start() -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    pub async fn start_at(address: SocketAddr) -> Self {
        let server = Server::bind(address, super::log()).await.unwrap();
        let address = server.address();
        let state = Arc::new(Mutex::new(State::default()));
        state.lock().unwrap().reply.entries = vec![address];
        let stop = CancellationToken::new();
        let shared = state.clone();
        let run = server.run(stop.clone(), move |stream| serve(shared.clone(), stream));
        Self {
            address,
            state,
            _stop: stop.drop_guard(),
            _run: tokio::spawn(run),
        }
    }

    /// Changes the reply to the next heartbeats.
    pub fn set_reply(&self, change: impl FnOnce(&mut Reply)) {
        change(&mut self.state.lock().unwrap().reply);
    }

    /// Sets one section as the whole configuration.
    pub fn set_section(&self, team: &str, revision: u64, text: &str) {
        let item = section::Item {
            team: team.to_owned(),
            revision,
            text: Some(text.to_owned()),
        };
        let mut state = self.state.lock().unwrap();
        state.reply.revision = revision;
        state.reply.revision_known = revision;
        state.sections = Some(section::Reply {
            revision,
            items: vec![item],
        });
    }

    /// Returns the heartbeats received so far.
    pub fn beats(&self) -> Vec<Beat> {
        self.state.lock().unwrap().beats.clone()
    }

    /// Waits for a heartbeat that `is_so`.
    pub async fn beat(&self, is_so: impl Fn(&Beat) -> bool) -> Beat {
        let mut found = None;
        super::until(|| {
            found = self.beats().into_iter().find(&is_so);
            found.is_some()
        })
        .await;
        found.unwrap()
    }
}

async fn serve(state: Arc<Mutex<State>>, mut stream: Stream) {
    let Ok(Some(frame)) = stream.recv().await else {
        return;
    };
    let reply = {
        let mut state = state.lock().unwrap();
        match frame {
            Frame::Heartbeat(beat) => {
                let mut reply = state.reply.clone();
                let has_announced = state.beats.iter().any(|beat| beat.announcement.is_some());
                reply.wants_announcement = beat.announcement.is_none() && !has_announced;
                state.beats.push(beat);
                Frame::HeartbeatReply(reply)
            }
            Frame::SectionQuery(_) => Frame::SectionReply(state.sections.clone().unwrap()),
            other => panic!("unexpected frame {other:?}"),
        }
    };
    if stream.send(&reply).await.is_ok() {
        let _ = stream.finish();
    }
}
