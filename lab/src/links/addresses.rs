//! Loopback addresses: each party is reached at an address of its own by each balancer.

use std::net::{IpAddr, Ipv4Addr};

/// Balancers whose addresses share the second octet, and host numbers of each balancer.
const BLOCK: u32 = 250;
/// The host number of the discovery service.
pub const DISCOVERY_HOST_NUMBER: u32 = 249;

/// The address at which a balancer reaches the party of a host number: 16 blocks of 250 balancers
/// by 250 host numbers.
pub fn pair_address(balancer: u32, host_number: u32) -> IpAddr {
    let octet = |n: u32| n as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        octet(16 + balancer / BLOCK),
        octet(1 + balancer % BLOCK),
        octet(2 + host_number % BLOCK),
    ))
}
