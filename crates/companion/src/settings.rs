//! Settings of a companion.

use std::net::SocketAddr;

use clap::Args;
use toucanquay_model::{Error, ErrorKind, Resources, job};

/// Upper limit of the stop deadline, in milliseconds.
const STOP_DEADLINE_MS_MAX: u64 = 3_600_000;

/// Upper limit of slots and of connections.
const SLOTS_MAX: u32 = 65_536;

/// Settings of a companion. Each can be set by a flag or an environment variable.
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
    /// Peer addresses of entries; further entries are discovered from their replies
    #[arg(long, env = "TOUCANQUAY_ENTRIES", value_delimiter = ',')]
    pub entries: Vec<SocketAddr>,

    /// Listen address for entries; port 0 selects a free port
    #[arg(long, env = "TOUCANQUAY_LISTEN", default_value = "127.0.0.1:7710")]
    pub listen: SocketAddr,

    /// Announced address, if it differs from the listen address
    #[arg(long, env = "TOUCANQUAY_ADVERTISE")]
    pub advertise: Option<SocketAddr>,

    /// URL of the upstream, for example http://127.0.0.1:9000
    #[arg(long, env = "TOUCANQUAY_UPSTREAM")]
    pub upstream: String,

    /// Path of the upstream's health check; by default, only a TCP connection is checked
    #[arg(long, env = "TOUCANQUAY_HEALTH_PATH")]
    pub health_path: Option<String>,

    /// URL of the worker's task runtime; without it, the worker runs no batch tasks
    #[arg(long, env = "TOUCANQUAY_RUNTIME")]
    pub runtime: Option<String>,

    /// Name of the worker; must be stable across restarts
    #[arg(long, env = "TOUCANQUAY_WORKER")]
    pub worker: String,

    /// Service that the upstream provides
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

    /// Maximum number of concurrent requests to the upstream
    #[arg(long, env = "TOUCANQUAY_SLOTS", default_value_t = 8)]
    pub slots: u32,

    /// Maximum number of connections to the upstream; one is reserved for health checks
    #[arg(long, env = "TOUCANQUAY_CONNECTIONS", default_value_t = 64)]
    pub connections: u32,

    /// Processor capacity of the worker for batch tasks, in thousandths of a processor
    #[arg(long, env = "TOUCANQUAY_PROCESSORS_MILLI", default_value_t = 0)]
    pub processors_milli: u32,

    /// Memory capacity of the worker for batch tasks, in megabytes
    #[arg(long, env = "TOUCANQUAY_MEMORY_MB", default_value_t = 0)]
    pub memory_mb: u32,

    /// Number of accelerators of the worker for batch tasks
    #[arg(long, env = "TOUCANQUAY_ACCELERATORS", default_value_t = 0)]
    pub accelerators: u32,

    /// Time after startup during which new tasks are refused, in milliseconds; less than 10000 is
    /// safe only if no companion ran on this worker before
    #[arg(long, env = "TOUCANQUAY_SETTLE_MS", default_value_t = 10_000)]
    pub settle_ms: u64,

    /// Maximum duration of a graceful stop, in milliseconds
    #[arg(long, env = "TOUCANQUAY_STOP_DEADLINE_MS", default_value_t = 30_000)]
    pub stop_deadline_ms: u64,

    /// Listen address for metrics in the Prometheus text format; disabled by default
    #[arg(long, env = "TOUCANQUAY_METRICS_LISTEN")]
    pub metrics_listen: Option<SocketAddr>,
}

impl Settings {
    /// Creates settings for a companion on loopback that listens on a free port and runs no batch
    /// tasks.
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

    /// Sets the listen address for entries.
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

    /// Sets the URL of the worker's task runtime.
    #[must_use]
    pub fn runtime(mut self, address: impl Into<String>) -> Self {
        self.runtime = Some(address.into());
        self
    }

    /// Sets the availability zone and the rack.
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

    /// Sets the maximum number of concurrent requests to the upstream.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the maximum number of connections to the upstream.
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

    /// Sets the time after startup during which new tasks are refused, in milliseconds.
    #[must_use]
    pub const fn settle_ms(mut self, millis: u64) -> Self {
        self.settle_ms = millis;
        self
    }

    /// Sets the maximum duration of a graceful stop, in milliseconds.
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

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// An [`ErrorKind::InvalidSetting`] for each invalid setting.
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
                    "a URL that starts with http://",
                ));
            }
        }
        if self.advertise.is_none() && self.listen.ip().is_unspecified() {
            let expected = "an address that entries can connect to, or --advertise";
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
