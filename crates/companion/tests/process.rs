//! The program as a process of its own, which is killed or asked to stop.

mod support;

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use support::{PATIENCE, Reply, SERVICE, TEAM, entry::Entry, head, receive, send, until, upstream};
use tokio::time::timeout;
use toucanquay_model::{
    Attempt, Resources,
    exchange::{Grant, TaskState},
    job, task,
};
use toucanquay_standin::{Runtime, runtime::find_overlaps};

/// A process that is killed when the test ends.
struct Process {
    child: Child,
}

impl Process {
    fn start(upstream: SocketAddr, entry: &Entry, runtime: Option<&Runtime>) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_toucanquay-companion"));
        command
            .args(["--worker", "w1", "--service", SERVICE, "--team", TEAM])
            .args(["--listen", "127.0.0.1:0", "--settle-ms", "0"])
            .args(["--upstream", &format!("http://{upstream}")])
            .args(["--entries", &entry.address.to_string()])
            .env("TOUCANQUAY_PROCESSORS_MILLI", "4000")
            .env("TOUCANQUAY_MEMORY_MB", "8000")
            .stderr(Stdio::piped());
        if let Some(runtime) = runtime {
            command.args(["--runtime", &format!("http://{}", runtime.address())]);
        }
        Self {
            child: command.spawn().unwrap(),
        }
    }

    /// Asks the process to stop, as a supervisor does.
    fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(status.success());
    }

    fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process and returns whether it succeeded, and its log.
    async fn wait(mut self) -> (bool, String) {
        let mut log = self.child.stderr.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || {
            let mut text = String::new();
            std::io::Read::read_to_string(&mut log, &mut text).unwrap();
            (self.child.wait().unwrap().success(), text)
        });
        timeout(PATIENCE, wait).await.unwrap().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process has often ended by then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn grant(index: u32) -> Grant {
    Grant {
        task: task::Id::new(job::Id::from("plan"), index),
        attempt: Attempt::new(1, 1),
        team: TEAM.to_owned(),
        kind: "plan".to_owned(),
        demand: Resources {
            processors_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        payload: "{\"run_ms\":60000}".to_owned(),
        checkpoint: None,
    }
}

/// Guards against a supervisor's stop that cuts off a request, and against log lines that can't be
/// sorted into a timeline.
#[tokio::test]
async fn process_finishes_its_requests_when_asked_to_stop() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let process = Process::start(upstream.address(), &entry, None);
    let beat = entry.beat(|beat| beat.announcement.is_some()).await;
    let address = beat.announcement.unwrap().address;
    let slow = head(1, beat.incarnation, "POST", "/slow?ms=500");
    let slow = send(address, slow, b"in flight").await;
    until(|| upstream.in_flight() == 1).await;

    process.terminate();
    let reply = receive(slow, 1).await;
    let (is_success, log) = process.wait().await;

    assert!(reply.text().contains("in flight"));
    assert!(is_success, "{log}");
    assert!(log.lines().all(|line| line.starts_with("event=")), "{log}");
    assert!(log.contains("event=companion_stopped"), "{log}");
}

/// Guards against a request whose companion was killed and that is still taken for whole.
#[tokio::test]
async fn killed_process_breaks_the_stream() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let process = Process::start(upstream.address(), &entry, None);
    let beat = entry.beat(|beat| beat.announcement.is_some()).await;
    let address = beat.announcement.unwrap().address;
    let slow = head(1, beat.incarnation, "POST", "/slow?ms=60000");
    let slow = send(address, slow, b"").await;
    until(|| upstream.in_flight() == 1).await;

    process.kill();

    assert_eq!(receive(slow, 1).await, Reply::Broken);
}

/// Guards against tasks that are lost, started twice, or left out of the count of resources when
/// the companion dies and is started again.
#[tokio::test]
async fn tasks_of_a_killed_process_are_adopted() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let runtime = Runtime::start().await.unwrap();
    entry.own(1);
    let first = Process::start(upstream.address(), &entry, Some(&runtime));
    entry.report(|report| !report.is_settling).await;
    entry.order(|order| order.grants = vec![grant(0), grant(1)]);
    until(|| runtime.running_count() == 2).await;
    let former = entry.reports().pop().unwrap().incarnation;

    first.kill();
    let _second = Process::start(upstream.address(), &entry, Some(&runtime));
    let adopted = entry
        .report(|report| report.incarnation > former && !report.is_settling)
        .await;
    entry.order(|order| order.grants = (2..6).map(grant).collect());
    until(|| runtime.running_count() == 4).await;
    let seen = entry.reports().len();
    until(|| entry.reports().len() >= seen + 3).await;

    let states: Vec<&TaskState> = adopted.tasks.iter().map(|line| &line.state).collect();
    assert_eq!(states, [&TaskState::Running, &TaskState::Running]);
    assert_eq!(runtime.running_count(), 4);
    assert_eq!(runtime.peak_resources().processors_milli, 4_000);
    assert!(find_overlaps(&runtime.run_intervals()).is_empty());
}

/// Guards against a program that starts with settings that can't work.
#[tokio::test]
async fn invalid_settings_are_named_and_end_the_program() {
    let command = Command::new(env!("CARGO_BIN_EXE_toucanquay-companion"))
        .args(["--worker", "w 1", "--service", SERVICE, "--team", TEAM])
        .args(["--upstream", "http://127.0.0.1:1", "--slots", "0"])
        .output()
        .unwrap();

    let log = String::from_utf8(command.stderr).unwrap();
    assert_eq!(command.status.code(), Some(2), "{log}");
    assert!(log.contains("--worker") && log.contains("--slots"), "{log}");
}
