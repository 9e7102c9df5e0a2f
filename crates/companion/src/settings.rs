//! Settings of a companion.

use std::net::SocketAddr;

use clap::Args;
use toucanquay_model::{Error, ErrorKind, Resources, job};

/// Longest graceful stop that a setting may name, in milliseconds.
const STOP_DEADLINE_MS_MAX: u64 = 3_600_000;

/// Most slots or connections that a setting may name.
const SLOTS_MAX: u32 = 65_536;

/// Settings of a companion. Each is a flag and an environment variable.
///
/// # Examples
///
/// ```
/// use toucanquay_companion::Settings;
///
/// let settings = Settings::new("w1", "lookup", "desk", "http://127.0.0.1:9000").slots(4);
/// assert!(settings.check().is_ok());
/// let settings = settings.slots(0).listen("0.0.0.0:7710".parse().unwrap());
/// assert_eq!(settings.check().unwrap_err().len(), 2);
/// ```
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// Peer addresses of entries; the others are learned from their replies
    #[arg(long, env = "TOUCANQUAY_ENTRIES", value_delimiter = ',')]
    pub entries: Vec<SocketAddr>,

    /// Address of the listener for entries; port 0 lets the system choose
    #[arg(long, env = "TOUCANQUAY_LISTEN", default_value = "127.0.0.1:7710")]
    pub listen: SocketAddr,

    /// Address that is announced, when it is not the one listened on
    #[arg(long, env = "TOUCANQUAY_ADVERTISE")]
    pub advertise: Option<SocketAddr>,

    /// Address of the upstream, for example http://127.0.0.1:9000
    #[arg(long, env = "TOUCANQUAY_UPSTREAM")]
    pub upstream: String,

    /// Path of the upstream's health check; without it, a connection is proof of health
    #[arg(long, env = "TOUCANQUAY_HEALTH_PATH")]
    pub health_path: Option<String>,

    /// Address of the worker's task runtime; without it, the worker runs no tasks
    #[arg(long, env = "TOUCANQUAY_RUNTIME")]
    pub runtime: Option<String>,

    /// Name of the worker, the same after a restart
    #[arg(long, env = "TOUCANQUAY_WORKER")]
    pub worker: String,

    /// Service that the upstream answers for
    #[arg(long, env = "TOUCANQUAY_SERVICE")]
    pub service: String,

    /// Team that owns the upstream
    #[arg(long, env = "TOUCANQUAY_TEAM")]
    pub team: String,

    /// Availability zone of this host
    #[arg(long, env = "TOUCANQUAY_ZONE", default_value = "a")]
    pub zone: String,

    /// Rack of this host
    #[arg(long, env = "TOUCANQUAY_RACK", default_value = "1")]
    pub rack: String,

    /// Cell that the worker belongs to
    #[arg(long, env = "TOUCANQUAY_CELL", default_value_t = 0)]
    pub cell: u32,

    /// Requests that the upstream handles at once
    #[arg(long, env = "TOUCANQUAY_SLOTS", default_value_t = 8)]
    pub slots: u32,

    /// Connections to the upstream at the most; one of them is for health checks
    #[arg(long, env = "TOUCANQUAY_CONNECTIONS", default_value_t = 64)]
    pub connections: u32,

    /// Processors of the worker for batch tasks, in thousandths
    #[arg(long, env = "TOUCANQUAY_PROCESSORS_MILLI", default_value_t = 0)]
    pub processors_milli: u32,

    /// Memory of the worker for batch tasks, in megabytes
    #[arg(long, env = "TOUCANQUAY_MEMORY_MB", default_value_t = 0)]
    pub memory_mb: u32,

    /// Accelerators of the worker for batch tasks
    #[arg(long, env = "TOUCANQUAY_ACCELERATORS", default_value_t = 0)]
    pub accelerators: u32,

    /// Time after the start in which new tasks are refused, in milliseconds; less than 10000 is
    /// safe only when no companion ran on this worker before
    #[arg(long, env = "TOUCANQUAY_SETTLE_MS", default_value_t = 10_000)]
    pub settle_ms: u64,

    /// Longest graceful stop, in milliseconds
    #[arg(long, env = "TOUCANQUAY_STOP_DEADLINE_MS", default_value_t = 30_000)]
    pub stop_deadline_ms: u64,

    /// Address of the metrics listener (Prometheus text); none by default
    #[arg(long, env = "TOUCANQUAY_METRICS_LISTEN")]
    pub metrics_listen: Option<SocketAddr>,
}

impl Settings {
    /// Returns settings for a companion on loopback, with a listener on a port that the system
    /// chooses, and without tasks.
    #[must_use]
    pub fn new(
        worker: impl Into<String>,
        service: impl Into<String>,
        team: impl Into<String>,
        upstream: impl Into<String>,
    ) -> Self {
        Self {
            entries: Vec::new(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            upstream: upstream.into(),
            health_path: None,
            runtime: None,
            worker: worker.into(),
            service: service.into(),
            team: team.into(),
            zone: "a".to_owned(),
            rack: "1".to_owned(),
            cell: 0,
            slots: 8,
            connections: 64,
            processors_milli: 0,
            memory_mb: 0,
            accelerators: 0,
            settle_ms: 10_000,
            stop_deadline_ms: 30_000,
            metrics_listen: None,
        }
    }

    /// Sets the peer addresses of entries.
    #[must_use]
    pub fn entries(mut self, entries: impl Into<Vec<SocketAddr>>) -> Self {
        self.entries = entries.into();
        self
    }

    /// Sets the address of the listener for entries.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the path of the upstream's health check.
    #[must_use]
    pub fn health_path(mut self, path: impl Into<String>) -> Self {
        self.health_path = Some(path.into());
        self
    }

    /// Sets the address of the worker's task runtime.
    #[must_use]
    pub fn runtime(mut self, address: impl Into<String>) -> Self {
        self.runtime = Some(address.into());
        self
    }

    /// Sets availability zone and rack.
    #[must_use]
    pub fn zone_and_rack(mut self, zone: impl Into<String>, rack: impl Into<String>) -> Self {
        self.zone = zone.into();
        self.rack = rack.into();
        self
    }

    /// Sets the cell that the worker belongs to.
    #[must_use]
    pub const fn cell(mut self, cell: u32) -> Self {
        self.cell = cell;
        self
    }

    /// Sets the requests that the upstream handles at once.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the most connections to the upstream.
    #[must_use]
    pub const fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the worker's capacity for batch tasks.
    #[must_use]
    pub const fn capacity(mut self, capacity: Resources) -> Self {
        self.processors_milli = capacity.processors_milli;
        self.memory_mb = capacity.memory_mb;
        self.accelerators = capacity.accelerators;
        self
    }

    /// Sets the time after the start in which new tasks are refused, in milliseconds.
    #[must_use]
    pub const fn settle_ms(mut self, millis: u64) -> Self {
        self.settle_ms = millis;
        self
    }

    /// Sets the longest graceful stop, in milliseconds.
    #[must_use]
    pub const fn stop_deadline_ms(mut self, millis: u64) -> Self {
        self.stop_deadline_ms = millis;
        self
    }

    /// Returns the worker's capacity for batch tasks.
    #[must_use]
    pub const fn resources(&self) -> Resources {
        Resources {
            processors_milli: self.processors_milli,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }

    /// Checks the settings against their bounds.
    ///
    /// # Errors
    ///
    /// An [`ErrorKind::InvalidSetting`] for each setting that is wrong.
    pub fn check(&self) -> Result<(), Vec<Error>> {
        let mut errors = Vec::new();
        self.check_names(&mut errors);
        self.check_addresses(&mut errors);
        self.check_numbers(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_names(&self, errors: &mut Vec<Error>) {
        let names = [
            ("--worker", &self.worker),
            ("--service", &self.service),
            ("--team", &self.team),
            ("--zone", &self.zone),
            ("--rack", &self.rack),
        ];
        for (flag, name) in names {
            if job::check_name("name", name).is_err() {
                let expected = "1 to 64 letters, digits, '-', '_' or '.'";
                errors.push(invalid_setting(flag, name, expected));
            }
        }
    }

    fn check_addresses(&self, errors: &mut Vec<Error>) {
        let runtime = self.runtime.as_ref();
        let urls = [("--upstream", Some(&self.upstream)), ("--runtime", runtime)];
        for (flag, url) in urls {
            if url.is_some_and(|url| !url.starts_with("http://")) {
                let value = url.map_or("", String::as_str);
                errors.push(invalid_setting(
                    flag,
                    value,
                    "an address that starts with http://",
                ));
            }
        }
        if self.advertise.is_none() && self.listen.ip().is_unspecified() {
            let expected = "an address that entries can reach, or --advertise";
            errors.push(invalid_setting("--listen", self.listen, expected));
        }
        let health_path = self.health_path.as_deref().unwrap_or("/");
        if !health_path.starts_with('/') {
            errors.push(invalid_setting(
                "--health-path",
                health_path,
                "a path that starts with /",
            ));
        }
    }

    fn check_numbers(&self, errors: &mut Vec<Error>) {
        if !(1..=SLOTS_MAX).contains(&self.slots) {
            errors.push(invalid_setting("--slots", self.slots, "1 to 65536"));
        }
        if self.connections <= self.slots || self.connections > SLOTS_MAX {
            let expected = "more than --slots and at most 65536";
            errors.push(invalid_setting("--connections", self.connections, expected));
        }
        if self.stop_deadline_ms > STOP_DEADLINE_MS_MAX {
            let expected = "at most 3600000";
            errors.push(invalid_setting(
                "--stop-deadline-ms",
                self.stop_deadline_ms,
                expected,
            ));
        }
    }
}

fn invalid_setting(flag: &str, value: impl std::fmt::Display, expected: &str) -> Error {
    Error::new(ErrorKind::InvalidSetting)
        .field(flag)
        .value(value)
        .expected(expected)
}
