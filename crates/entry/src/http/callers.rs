//! Decision which callers of a listener keep their connections and what they hold.

use std::{collections::HashMap, net::IpAddr};

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use tokio::time::{Duration, Instant};

use super::{Kind, Limits};

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Connections that have to be closed, and why.
pub type Closings = SmallVec<[(ConnectionKey, Kind); 2]>;

/// Bytes of a body that count as progress. A caller that sends less again and again is taken for one
/// that sends nothing.
const PROGRESS_BYTES: usize = 1_024;

/// Time without progress after which a connection with part of a body is closed when another one
/// needs its room.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Size up to which a body may take the part of the room that is reserved for small ones, in bytes.
const SMALL_BYTES: usize = 65_536;

/// Share of the room that is reserved for small bodies: one part of this many.
const RESERVED_PART: usize = 4;

/// Share of the room and of the connections that an address leaves to others: one part of this many.
const OTHERS_PART: usize = 8;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// A head has begun.
    Head,
    /// A request is being read or served.
    Request,
    /// Its body is awaited.
    Body,
    /// It has to be closed.
    Closing,
}

/// An open connection.
#[derive(Debug, Clone, Copy)]
struct Connection {
    address: IpAddr,
    phase: Phase,
    /// Start of the phase; with a body, its last progress.
    since: Instant,
    /// Bytes received in the phase since the last progress.
    unmarked_bytes: usize,
    /// Bytes of the body that are held.
    held_bytes: usize,
}

/// What the connections of an address take together.
#[derive(Debug, Default, Clone, Copy)]
struct Share {
    connections: usize,
    held_bytes: usize,
}

/// Room for the bodies of a connection.
#[derive(Debug, Clone, Copy)]
struct Room {
    /// Bytes that all connections may hold, if this one is among them.
    max: usize,
    /// Bytes that those of its address may hold.
    address_max: usize,
    /// Bytes that they hold.
    address_used: usize,
}

/// Connections of a listener and the room that they take.
///
/// Answers many callers at once that open connections, or send heads and bodies, and don't end what
/// they have begun. Who has made no progress for longest pays first; a request that is being served
/// never does.
#[derive(Debug)]
pub struct Callers {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    /// Number of connections that don't have to be closed.
    open: usize,
    shares: HashMap<IpAddr, Share>,
    held_bytes: usize,
}

impl Callers {
    /// Creates a listener's table without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            open: 0,
            shares: HashMap::new(),
            held_bytes: 0,
        }
    }

    /// Returns the number of connections that are open and don't have to be closed.
    #[must_use]
    pub const fn open_connections(&self) -> usize {
        self.open
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a new connection. At the limit, the one that has been idle or unfinished for longest is
    /// closed for it, of its own address if that leaves too few to others. Returns `None` if each of
    /// them is being served.
    pub fn open(&mut self, address: IpAddr, now: Instant) -> Option<(ConnectionKey, Closings)> {
        let mut closings = Closings::new();
        let open = self.shares.get(&address).map_or(0, |s| s.connections);
        let max = self.limits.connections;
        let address_max = max - max / OTHERS_PART;
        if open >= address_max || self.open >= max {
            let of = (open >= address_max).then_some(address);
            let victim = self.stalest(|connection| of.is_none_or(|of| of == connection.address))?;
            closings.push((victim, Kind::ConnectionLimit));
            self.mark_closing(victim);
        }
        let key = self.connections.insert(Connection {
            address,
            phase: Phase::Idle,
            since: now,
            unmarked_bytes: 0,
            held_bytes: 0,
        });
        self.open += 1;
        self.shares.entry(address).or_default().connections += 1;
        Some((key, closings))
    }

    /// Records bytes that a connection received.
    pub fn receive(&mut self, key: ConnectionKey, bytes: usize, now: Instant) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        match connection.phase {
            Phase::Idle => connection.enter(Phase::Head, now),
            Phase::Body => {
                connection.unmarked_bytes += bytes;
                if connection.unmarked_bytes >= PROGRESS_BYTES {
                    connection.enter(Phase::Body, now);
                }
            }
            Phase::Head | Phase::Request | Phase::Closing => {}
        }
    }

    /// Records that the head of a request is whole.
    pub fn begin(&mut self, key: ConnectionKey, now: Instant) {
        self.enter(key, Phase::Request, now);
    }

    /// Records that the rest of a request's body is awaited.
    pub fn await_body(&mut self, key: ConnectionKey, now: Instant) {
        self.enter(key, Phase::Body, now);
    }

    /// Takes room for more bytes of a body. Connections without progress are closed to make room.
    /// Returns whether there is room, and which connections have to be closed, also if there is none.
    pub fn hold(&mut self, key: ConnectionKey, bytes: usize, now: Instant) -> (bool, Closings) {
        let mut closings = Closings::new();
        while self.is_full(key, bytes) {
            let Some(victim) = self.stalled(key, bytes, now) else {
                return (false, closings);
            };
            closings.push((victim, Kind::BodyRoom));
            self.mark_closing(victim);
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return (false, closings);
        };
        connection.held_bytes += bytes;
        self.held_bytes += bytes;
        self.shares
            .entry(connection.address)
            .or_default()
            .held_bytes += bytes;
        (true, closings)
    }

    /// Returns whether there is no room for more bytes of a connection.
    fn is_full(&self, key: ConnectionKey, bytes: usize) -> bool {
        self.room(key, bytes).is_none_or(|room| {
            room.address_used + bytes > room.address_max || self.held_bytes + bytes > room.max
        })
    }

    /// Returns the room that a connection may use, or `None` if it has to be closed.
    fn room(&self, key: ConnectionKey, bytes: usize) -> Option<Room> {
        let connection = self.connections.get(key)?;
        if connection.phase == Phase::Closing {
            return None;
        }
        let all = self.limits.held_bytes;
        let max = if connection.held_bytes + bytes <= SMALL_BYTES {
            all
        } else {
            all - all / RESERVED_PART
        };
        let share = self.shares.get(&connection.address);
        Some(Room {
            max,
            address_max: max - max / OTHERS_PART,
            address_used: share.map_or(0, |share| share.held_bytes),
        })
    }

    /// Returns the connection with part of a body that has made no progress for longest, of the
    /// same address if that leaves too little to others.
    fn stalled(&self, key: ConnectionKey, bytes: usize, now: Instant) -> Option<ConnectionKey> {
        let room = self.room(key, bytes)?;
        let address = self.connections.get(key)?.address;
        let is_address_full = room.address_used + bytes > room.address_max;
        self.stalest(|other| {
            other.phase == Phase::Body
                && other.held_bytes > 0
                && now.saturating_duration_since(other.since) >= STALLED_AFTER
                && (!is_address_full || other.address == address)
        })
    }

    /// Records that the handling of a request has ended, and frees what it held.
    pub fn end(&mut self, key: ConnectionKey, now: Instant) {
        self.release(key);
        self.enter(key, Phase::Idle, now);
    }

    /// Removes a closed connection. Returns whether it ended in a head and hadn't to be closed.
    pub fn close(&mut self, key: ConnectionKey) -> bool {
        let phase = self.connections.get(key).map(|connection| connection.phase);
        self.mark_closing(key);
        self.connections.remove(key);
        phase == Some(Phase::Head)
    }

    /// Returns the connections whose head isn't whole in time.
    pub fn expire(&mut self, now: Instant) -> Closings {
        let timeout = self.limits.head_timeout;
        let is_late = |connection: &Connection| {
            connection.phase == Phase::Head
                && now.saturating_duration_since(connection.since) >= timeout
        };
        let late = self.connections.iter().filter(|(_, it)| is_late(it));
        let closings: Closings = late.map(|(key, _)| (key, Kind::HeadTimeout)).collect();
        for (key, _) in &closings {
            self.mark_closing(*key);
        }
        closings
    }

    /// Returns the connection that has made no progress for longest.
    fn stalest(&self, filter: impl Fn(&Connection) -> bool) -> Option<ConnectionKey> {
        let idle = self.connections.iter().filter(|(_, connection)| {
            !matches!(connection.phase, Phase::Request | Phase::Closing) && filter(connection)
        });
        let stalest = idle.min_by_key(|(_, connection)| connection.since);
        stalest.map(|(key, _)| key)
    }

    fn enter(&mut self, key: ConnectionKey, phase: Phase, now: Instant) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.phase != Phase::Closing
        {
            connection.enter(phase, now);
        }
    }

    /// Frees what a connection takes.
    fn mark_closing(&mut self, key: ConnectionKey) {
        self.release(key);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.phase == Phase::Closing {
            return;
        }
        connection.phase = Phase::Closing;
        self.open -= 1;
        let address = connection.address;
        if let Some(share) = self.shares.get_mut(&address) {
            share.connections -= 1;
            if share.connections == 0 {
                self.shares.remove(&address);
            }
        }
    }

    fn release(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let held = std::mem::take(&mut connection.held_bytes);
        self.held_bytes -= held;
        if let Some(share) = self.shares.get_mut(&connection.address) {
            share.held_bytes -= held;
        }
    }
}

impl Connection {
    const fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.since = now;
        self.unmarked_bytes = 0;
    }
}
