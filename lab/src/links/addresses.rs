//! Loopback addresses: a party has a separate address for each balancer that connects to it.

use std::net::{IpAddr, Ipv4Addr};

/// The number of balancers whose addresses share the second octet, and the number of host numbers
/// of each balancer.
const BLOCK_SIZE: u32 = 250;
/// The host number of the discovery service.
pub const DISCOVERY_HOST_NUMBER: u32 = 249;

/// Returns the address at which a balancer reaches the party with this host number.
///
/// After 127, the octets are 16 plus the balancer's block of 250, 1 plus the balancer's position in
/// its block, and 2 plus the host number modulo 250.
pub fn pair_address(balancer: u32, host_number: u32) -> IpAddr {
    let octet = |n: u32| n as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        octet(16 + balancer / BLOCK_SIZE),
        octet(1 + balancer % BLOCK_SIZE),
        octet(2 + host_number % BLOCK_SIZE),
    ))
}
