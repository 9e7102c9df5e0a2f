//! Child processes of the real programs.

use std::{
    path::{Path, PathBuf},
    process::Stdio,
};

use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

use super::WAIT_TIMEOUT;

/// Running program, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts an entry and returns its process with its first line of output, or `None` if it exits
    /// without output.
    pub async fn start_entry(arguments: &[String]) -> Option<(Self, String)> {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_toucanquay"));
        let mut process = Self::spawn(&program, arguments);
        let stdout = process.child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(stdout).lines();
        let line = tokio::time::timeout(WAIT_TIMEOUT, lines.next_line())
            .await
            .expect("the entry prints its addresses in time")
            .expect("the output is readable")?;
        Some((process, line))
    }

    /// Starts a companion.
    pub fn start_companion(arguments: &[String]) -> Self {
        let entry = Path::new(env!("CARGO_BIN_EXE_toucanquay"));
        let program = entry.with_file_name("toucanquay-companion");
        assert!(
            program.exists(),
            "toucanquay-companion is not built: run `cargo test --workspace`"
        );
        Self::spawn(&program, arguments)
    }

    /// Sends a signal by name, for example `STOP`.
    pub fn signal(&self, name: &str) {
        let process_id = self.child.id().expect("the process is running").to_string();
        let status = std::process::Command::new("kill")
            .args([&format!("-{name}"), &process_id])
            .status()
            .expect("kill runs");
        assert!(status.success(), "kill -{name} {process_id}");
    }

    /// Waits for the program to exit and returns its exit code, or `None` if a signal ended it.
    pub async fn wait(&mut self) -> Option<i32> {
        tokio::time::timeout(WAIT_TIMEOUT, self.child.wait())
            .await
            .expect("the process exits in time")
            .expect("the process can be waited for")
            .code()
    }

    fn spawn(program: &Path, arguments: &[String]) -> Self {
        let log = match std::env::var_os("TOUCANQUAY_TEST_LOG") {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        };
        let child = Command::new(program)
            .args(arguments)
            .env_clear()
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        Self { child }
    }
}
