//! Links between processes, on which faults act: links that carry connections between a balancer
//! and another party, and links that carry datagrams between balancers.

mod addresses;
mod connections;
mod datagrams;
mod peer_links;

pub use addresses::{DISCOVERY_HOST_NUMBER, pair_address};
pub use connections::{Connection, Link, LinkPeer, Links};
pub use datagrams::{DatagramSamples, LinkMatrix, delivery_delays};
pub use peer_links::{PeerLinks, Traffic};
