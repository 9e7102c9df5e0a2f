//! Response bodies of the protocol.

mod change;
mod conflict;
mod entries;
mod item;
mod lease;
mod range;
mod revision;
mod ttl;
mod watch;

pub(crate) use change::WireChange;
pub(super) use conflict::WireConflict;
pub(crate) use entries::Entries;
pub(super) use item::WireItem;
pub(super) use lease::WireLease;
pub(super) use range::WireRange;
pub(super) use revision::WireRevision;
pub(super) use ttl::WireTtl;
pub(crate) use watch::WireWatch;
