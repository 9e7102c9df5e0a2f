//! Runs the companion as a separate process that is killed or terminated.

mod support;

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use support::{
    Reply, SERVICE, TEAM, TEST_TIMEOUT, entry::FakeEntry, receive_reply, request_head,
    send_request, start_upstream, wait_until,
};
use tokio::time::timeout;
use toucanquay_model::{
    Attempt, Resources,
    exchange::{Grant, TaskState},
    job, task,
};
use toucanquay_standin::{Runtime, Upstream, runtime::find_overlaps};
use toucanquay_wire::Stream;

/// Companion process that is killed on drop.
struct Process {
    child: Child,
}

impl Process {
    fn start(upstream: SocketAddr, entry: &FakeEntry, runtime: Option<&Runtime>) -> Self {
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

    /// Sends SIGTERM to the process, as a supervisor does.
    fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(status.success());
    }

    fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to exit and returns whether it succeeded, together with its log.
    async fn wait(mut self) -> (bool, String) {
        let mut log = self.child.stderr.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || {
            let mut text = String::new();
            std::io::Read::read_to_string(&mut log, &mut text).unwrap();
            (self.child.wait().unwrap().success(), text)
        });
        timeout(TEST_TIMEOUT, wait).await.unwrap().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored, since the process has often exited by then.
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

/// Sends a request to the process that the entry knows, and waits until the upstream runs it.
async fn send_slow_request(
    entry: &FakeEntry,
    upstream: &Upstream,
    path: &str,
    body: &[u8],
) -> Stream {
    let heartbeat = entry.wait_for_announcement().await;
    let address = heartbeat.announcement.unwrap().address;
    let head = request_head(1, heartbeat.incarnation, "POST", path);
    let stream = send_request(address, head, body).await;
    wait_until(|| upstream.in_flight() == 1).await;
    stream
}

/// Guards against SIGTERM that aborts a request in flight, and against log lines without the prefix
/// by which they are merged into a timeline.
#[tokio::test]
async fn process_finishes_its_requests_when_asked_to_stop() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let process = Process::start(upstream.address(), &entry, None);
    let slow = send_slow_request(&entry, &upstream, "/slow?ms=500", b"in flight").await;

    process.terminate();
    let reply = receive_reply(slow, 1).await;
    let (is_success, log) = process.wait().await;

    assert!(reply.text().contains("in flight"));
    assert!(is_success, "{log}");
    assert!(log.lines().all(|line| line.starts_with("event=")), "{log}");
    assert!(log.contains("event=companion_stopped"), "{log}");
}

/// Guards against a response that is reported as complete although its companion was killed.
#[tokio::test]
async fn killed_process_breaks_the_stream() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let process = Process::start(upstream.address(), &entry, None);
    let slow = send_slow_request(&entry, &upstream, "/slow?ms=60000", b"").await;

    process.kill();

    assert_eq!(receive_reply(slow, 1).await, Reply::Broken);
}

/// Guards against tasks that are lost, started twice or missing from the accounting of resources
/// after the companion is killed and restarted.
#[tokio::test]
async fn tasks_of_a_killed_process_are_adopted() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let runtime = Runtime::start().await.unwrap();
    entry.become_owner(1);
    let first = Process::start(upstream.address(), &entry, Some(&runtime));
    entry.wait_for_report(|report| !report.is_settling).await;
    entry.set_next_command(|command| command.grants = vec![grant(0), grant(1)]);
    wait_until(|| runtime.running_count() == 2).await;
    let previous_incarnation = entry.reports().pop().unwrap().incarnation;

    first.kill();
    let _second = Process::start(upstream.address(), &entry, Some(&runtime));
    let adopted = entry
        .wait_for_report(|report| report.incarnation > previous_incarnation && !report.is_settling)
        .await;
    entry.set_next_command(|command| command.grants = (2..6).map(grant).collect());
    wait_until(|| runtime.running_count() == 4).await;
    let report_count = entry.reports().len();
    wait_until(|| entry.reports().len() >= report_count + 3).await;

    let states: Vec<&TaskState> = adopted.tasks.iter().map(|task| &task.state).collect();
    assert_eq!(states, [&TaskState::Running, &TaskState::Running]);
    assert_eq!(runtime.running_count(), 4);
    assert_eq!(runtime.peak_resources().processors_milli, 4_000);
    assert!(find_overlaps(&runtime.run_intervals()).is_empty());
}

/// Guards against a companion that starts with invalid settings.
#[tokio::test]
async fn invalid_settings_are_reported_and_exit() {
    let command = Command::new(env!("CARGO_BIN_EXE_toucanquay-companion"))
        .args(["--worker", "w 1", "--service", SERVICE, "--team", TEAM])
        .args(["--upstream", "http://127.0.0.1:1", "--slots", "0"])
        .output()
        .unwrap();

    let log = String::from_utf8(command.stderr).unwrap();
    assert_eq!(command.status.code(), Some(2), "{log}");
    assert!(log.contains("--worker") && log.contains("--slots"), "{log}");
}
