//! Stand-ins shared by the tests of the processes.

pub mod entry;
pub mod host;
pub mod log;
pub mod memory;
pub mod odd;
pub mod worker;

use std::net::SocketAddr;

/// Address on which the system assigns a port.
pub const ANY_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Returns an unused loopback address.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(ANY_ADDRESS).expect("a free address");
    listener.local_addr().expect("the bound address")
}
