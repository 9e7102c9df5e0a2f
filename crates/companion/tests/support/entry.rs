//! Fake entry that replies to heartbeats, serves configuration sections and owns the cell.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use toucanquay_model::exchange::{Command, Report};
use toucanquay_wire::{
    Frame, Server, Stream,
    heartbeat::{Heartbeat, Owner, Reply},
    section,
};

/// Fake entry that records the frames it receives.
#[derive(Debug)]
pub struct FakeEntry {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _stop: DropGuard,
    _run: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct State {
    heartbeats: Vec<Heartbeat>,
    reply: Reply,
    sections: Option<section::Reply>,
    reports: Vec<Report>,
    next_command: Command,
    response_delay: Duration,
    is_unresponsive: bool,
    withholds_acknowledgements: bool,
}

impl FakeEntry {
    pub async fn start() -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    pub async fn start_at(address: SocketAddr) -> Self {
        let server = Server::bind(address, super::log()).await.unwrap();
        let address = server.address();
        let state = Arc::new(Mutex::new(State::default()));
        state.lock().unwrap().reply.entries = vec![address];
        state.lock().unwrap().response_delay = Duration::from_millis(50);
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

    /// Changes the reply to subsequent heartbeats.
    pub fn set_reply(&self, change: impl FnOnce(&mut Reply)) {
        change(&mut self.state.lock().unwrap().reply);
    }

    /// Sets a configuration that consists of one section.
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

    /// Makes the entry the owner of the cell in `epoch`.
    pub fn become_owner(&self, epoch: u64) {
        let mut state = self.state.lock().unwrap();
        state.next_command.epoch = epoch;
        state.reply.owner = Some(Owner {
            address: self.address,
            epoch,
        });
    }

    /// Changes the command that is sent in response to the next report.
    pub fn set_next_command(&self, change: impl FnOnce(&mut Command)) {
        change(&mut self.state.lock().unwrap().next_command);
    }

    /// Sets the delay of responses to reports; 50 ms by default.
    pub fn set_response_delay(&self, response_delay: Duration) {
        self.state.lock().unwrap().response_delay = response_delay;
    }

    /// Sets whether reports remain without a response.
    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.state.lock().unwrap().is_unresponsive = is_unresponsive;
    }

    /// Sets whether the ends of attempts remain unacknowledged.
    pub fn set_withholds_acknowledgements(&self, withholds_acknowledgements: bool) {
        self.state.lock().unwrap().withholds_acknowledgements = withholds_acknowledgements;
    }

    /// Returns all reports received so far.
    pub fn reports(&self) -> Vec<Report> {
        self.state.lock().unwrap().reports.clone()
    }

    /// Waits for a report that satisfies `condition`.
    pub async fn wait_for_report(&self, condition: impl Fn(&Report) -> bool) -> Report {
        let mut found = None;
        super::wait_until(|| {
            found = self.reports().into_iter().find(&condition);
            found.is_some()
        })
        .await;
        found.unwrap()
    }

    /// Returns all heartbeats received so far.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.state.lock().unwrap().heartbeats.clone()
    }

    /// Waits for a heartbeat with an announcement.
    pub async fn wait_for_announcement(&self) -> Heartbeat {
        self.wait_for_heartbeat(|heartbeat| heartbeat.announcement.is_some())
            .await
    }

    /// Waits for a heartbeat that satisfies `condition`.
    pub async fn wait_for_heartbeat(&self, condition: impl Fn(&Heartbeat) -> bool) -> Heartbeat {
        let mut found = None;
        super::wait_until(|| {
            found = self.heartbeats().into_iter().find(&condition);
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
    if let Frame::Report(report) = &frame {
        let response_delay = {
            let mut state = state.lock().unwrap();
            state.reports.push(report.clone());
            state.response_delay
        };
        tokio::time::sleep(response_delay).await;
    }
    let reply = state.lock().unwrap().reply_to(frame);
    match reply {
        Some(reply) if stream.send(&reply).await.is_ok() => {
            let _ = stream.finish();
        }
        _ => stream.closed().await,
    }
}

impl State {
    fn reply_to(&mut self, frame: Frame) -> Option<Frame> {
        match frame {
            Frame::Heartbeat(heartbeat) => {
                let mut reply = self.reply.clone();
                let has_announced = self
                    .heartbeats
                    .iter()
                    .any(|heartbeat| heartbeat.announcement.is_some());
                reply.wants_announcement = heartbeat.announcement.is_none() && !has_announced;
                self.heartbeats.push(heartbeat);
                Some(Frame::HeartbeatReply(reply))
            }
            Frame::SectionQuery(_) => Some(Frame::SectionReply(self.sections.clone().unwrap())),
            Frame::Report(report) => {
                let is_last = self.reports.last() == Some(&report);
                let is_answered = is_last && !self.is_unresponsive;
                is_answered.then(|| Frame::Command(self.take_command(&report)))
            }
            other => panic!("unexpected frame {other:?}"),
        }
    }

    fn take_command(&mut self, report: &Report) -> Command {
        let ended = report
            .tasks
            .iter()
            .filter(|task| !self.withholds_acknowledgements && !task.state.holds_resources())
            .map(|task| (task.task.clone(), task.attempt))
            .collect();
        let empty = Command {
            epoch: self.next_command.epoch,
            ..Command::default()
        };
        let next_command = std::mem::replace(&mut self.next_command, empty);
        Command {
            sequence: report.sequence,
            lease_micros: 10_000_000,
            acknowledged: ended,
            ..next_command
        }
    }
}
