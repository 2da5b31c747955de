//! The loopback addresses at which balancers reach other parties.
//!
//! Each balancer has a /24 network of its own, in which a host number selects the party: the number
//! of an upstream or of another balancer, or [`DISCOVERY_HOST_NUMBER`].

use std::net::{IpAddr, Ipv4Addr};

/// The number of values of the third octet, 1 to 250, and of the last octet, 2 to 251.
const VALUES_PER_OCTET: u32 = 250;
/// The host number of the discovery service, above the number of any upstream.
pub const DISCOVERY_HOST_NUMBER: u32 = 249;

/// Returns the address at which a balancer reaches the party with this host number: 127.X.Y.Z with
/// X = 16 + `balancer` / 250, Y = 1 + `balancer` % 250 and Z = 2 + `host_number` % 250.
///
/// Parties whose host numbers have the same remainder modulo 250 share an address and differ in the
/// port.
pub fn pair_address(balancer: u32, host_number: u32) -> IpAddr {
    let octet = |n: u32| n as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        octet(16 + balancer / VALUES_PER_OCTET),
        octet(1 + balancer % VALUES_PER_OCTET),
        octet(2 + host_number % VALUES_PER_OCTET),
    ))
}
