//! Links between processes, and the faults that they inject: on connections between a balancer and
//! another party, and on datagrams between balancers.

mod addresses;
mod connections;
mod datagrams;
mod peer_links;

pub use addresses::{DISCOVERY_HOST_NUMBER, pair_address};
pub use connections::{Connection, Link, LinkPeer, Links};
pub use datagrams::{DatagramSamples, LinkMatrix, delivery_delays};
pub use peer_links::{PeerLinks, Traffic};
