//! Links between processes, and the faults that they inject.

pub(crate) mod connections;
pub(crate) mod datagrams;
pub(crate) mod peer_links;
