//! Entry process and its resource usage.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use std::io::{BufRead, BufReader};

/// Clock ticks per second in `/proc/<pid>/stat` on Linux (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Running entry process, killed on drop.
pub struct EntryProcess {
    child: Child,
    address_line: String,
}

impl EntryProcess {
    /// Starts an entry and waits for it to print its addresses.
    pub fn start(store: SocketAddr) -> Self {
        let arguments = [
            "entry".to_owned(),
            "--name=entry-0".to_owned(),
            "--zone=a".to_owned(),
            format!("--store={store}"),
            "--client-listen=127.0.0.1:0".to_owned(),
            "--operator-listen=127.0.0.1:0".to_owned(),
            "--peer-listen=127.0.0.1:0".to_owned(),
        ];
        let mut child = Command::new(PathBuf::from(env!("CARGO_BIN_EXE_toucanquay")))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(log_output())
            .spawn()
            .expect("the entry starts");
        let stdout = child.stdout.take().expect("the output is piped");
        let mut address_line = String::new();
        BufReader::new(stdout)
            .read_line(&mut address_line)
            .expect("the entry prints its addresses");
        Self {
            child,
            address_line,
        }
    }

    /// Returns the address of the listener `name` that the entry printed.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.address_line
            .split_whitespace()
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .and_then(|address| address.parse().ok())
            .expect("the entry printed the address")
    }

    /// Returns the user and system processor time used so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let stat = self.read_proc("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .expect("the program name ends with a parenthesis")
            .split_whitespace()
            .collect();
        let ticks = |index: usize| -> f64 {
            fields[index]
                .parse()
                .expect("the field is a number of ticks")
        };
        // `utime` and `stime` are fields 14 and 15, which are 12 and 13 after the program name.
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Returns the resident set size, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        self.read_proc("status")
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse().ok())
            .expect("the process status has VmRSS")
    }

    fn read_proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))
            .expect("the process is running")
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the destination of the log: inherited if `TOUCANQUAY_BENCH_LOG` is set, else discarded.
fn log_output() -> Stdio {
    match std::env::var_os("TOUCANQUAY_BENCH_LOG") {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    }
}
