//! Settings of an entry.

use std::net::SocketAddr;

use clap::Args;
use toucanquay_model::{Error, ErrorKind, job};

/// Maximum of the settings that are durations, in milliseconds.
const DURATION_MS_MAX: u64 = 3_600_000;

/// Settings of an entry. Each is a flag and an environment variable.
///
/// # Examples
///
/// ```
/// use toucanquay_entry::Settings;
///
/// let store = "127.0.0.1:9000".parse().unwrap();
/// assert!(Settings::new("entry-1", "a", store).cell(3).check().is_ok());
/// assert_eq!(Settings::new("entry 1", "", store).check().unwrap_err().len(), 2);
/// ```
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// Name of this entry, unique among the entries
    #[arg(long, env = "TOUCANQUAY_NAME")]
    pub name: String,

    /// Availability zone of this host
    #[arg(long, env = "TOUCANQUAY_ZONE")]
    pub zone: String,

    /// Address of the platform's store, for example 10.0.0.1:2379
    #[arg(long, env = "TOUCANQUAY_STORE")]
    pub store: SocketAddr,

    /// Address of the client listener; port 0 selects a free port
    #[arg(
        long,
        env = "TOUCANQUAY_CLIENT_LISTEN",
        default_value = "127.0.0.1:7700"
    )]
    pub client_listen: SocketAddr,

    /// Address of the operator listener
    #[arg(
        long,
        env = "TOUCANQUAY_OPERATOR_LISTEN",
        default_value = "127.0.0.1:7701"
    )]
    pub operator_listen: SocketAddr,

    /// Address of the peer listener, for companions and other entries
    #[arg(long, env = "TOUCANQUAY_PEER_LISTEN", default_value = "127.0.0.1:7702")]
    pub peer_listen: SocketAddr,

    /// Peer addresses of other entries, used when the store can't be read at startup
    #[arg(long, env = "TOUCANQUAY_PEERS", value_delimiter = ',')]
    pub peers: Vec<SocketAddr>,

    /// Cell that this entry may become the owner of
    #[arg(long, env = "TOUCANQUAY_CELL", default_value_t = 0)]
    pub cell: u32,

    /// Maximum calls per second to the store
    #[arg(long, env = "TOUCANQUAY_STORE_CALLS_PER_SECOND", default_value_t = 50)]
    pub store_calls_per_second: u32,

    /// Duration of the cell owner's lease in the store, in milliseconds
    #[arg(long, env = "TOUCANQUAY_HOLDER_LEASE_MS", default_value_t = 10_000)]
    pub holder_lease_ms: u64,

    /// Time in a graceful stop between failing readiness and closing the listeners, in milliseconds
    #[arg(long, env = "TOUCANQUAY_BALANCER_WAIT_MS", default_value_t = 2_000)]
    pub balancer_wait_ms: u64,

    /// Maximum duration of a graceful stop, in milliseconds
    #[arg(long, env = "TOUCANQUAY_STOP_DEADLINE_MS", default_value_t = 30_000)]
    pub stop_deadline_ms: u64,
}

impl Settings {
    /// Returns settings for an entry on loopback, with listeners on free ports.
    #[must_use]
    pub fn new(name: impl Into<String>, zone: impl Into<String>, store: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: name.into(),
            zone: zone.into(),
            store,
            client_listen: any_port,
            operator_listen: any_port,
            peer_listen: any_port,
            peers: Vec::new(),
            cell: 0,
            store_calls_per_second: 50,
            holder_lease_ms: 10_000,
            balancer_wait_ms: 2_000,
            stop_deadline_ms: 30_000,
        }
    }

    /// Sets the peer addresses of other entries.
    #[must_use]
    pub fn peers(mut self, peers: impl Into<Vec<SocketAddr>>) -> Self {
        self.peers = peers.into();
        self
    }

    /// Sets the cell that this entry may become the owner of.
    #[must_use]
    pub const fn cell(mut self, cell: u32) -> Self {
        self.cell = cell;
        self
    }

    /// Sets the duration of the owner's lease, in milliseconds.
    #[must_use]
    pub const fn holder_lease_ms(mut self, millis: u64) -> Self {
        self.holder_lease_ms = millis;
        self
    }

    /// Sets the maximum calls per second to the store.
    #[must_use]
    pub const fn store_calls_per_second(mut self, calls: u32) -> Self {
        self.store_calls_per_second = calls;
        self
    }

    /// Sets the time in a graceful stop between failing readiness and closing the listeners, in
    /// milliseconds.
    #[must_use]
    pub const fn balancer_wait_ms(mut self, millis: u64) -> Self {
        self.balancer_wait_ms = millis;
        self
    }

    /// Sets the maximum duration of a graceful stop, in milliseconds.
    #[must_use]
    pub const fn stop_deadline_ms(mut self, millis: u64) -> Self {
        self.stop_deadline_ms = millis;
        self
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// One [`ErrorKind::InvalidSetting`] for each invalid setting.
    pub fn check(&self) -> Result<(), Vec<Error>> {
        let mut errors = Vec::new();
        for (flag, name) in [("--name", &self.name), ("--zone", &self.zone)] {
            if job::check_name("name", name).is_err() {
                errors.push(invalid(
                    flag,
                    name,
                    "1 to 64 letters, digits, '-', '_' or '.'",
                ));
            }
        }
        if self.store_calls_per_second == 0 {
            errors.push(invalid("--store-calls-per-second", 0, "at least 1"));
        }
        if !(1_000..=DURATION_MS_MAX).contains(&self.holder_lease_ms) {
            errors.push(invalid(
                "--holder-lease-ms",
                self.holder_lease_ms,
                "1000 to 3600000",
            ));
        }
        if self.balancer_wait_ms > self.stop_deadline_ms {
            errors.push(invalid(
                "--balancer-wait-ms",
                self.balancer_wait_ms,
                "at most --stop-deadline-ms",
            ));
        }
        if self.stop_deadline_ms > DURATION_MS_MAX {
            errors.push(invalid(
                "--stop-deadline-ms",
                self.stop_deadline_ms,
                "at most 3600000",
            ));
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }
}

fn invalid(flag: &str, value: impl std::fmt::Display, expected: &str) -> Error {
    Error::new(ErrorKind::InvalidSetting)
        .field(flag)
        .value(value)
        .expected(expected)
}
