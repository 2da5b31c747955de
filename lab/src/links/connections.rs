//! Connections through links, and the effect of the link conditions on their traffic.
//!
//! A connection through a link is relayed in chunks: each waits until it is due, and while the link
//! is cut. No data is lost or reordered, as with TCP; only its timing changes.

use crate::experiment::{LinkCondition, LinkConditions};
use crate::sync::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, duplex, split};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// The largest chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks of one direction that may be in transit.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;

/// The other party of a link for connections with a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkPeer {
    /// An upstream.
    Upstream(u32),
    /// The discovery service.
    Discovery,
    /// The clients, all together.
    Clients,
}

/// A connection of any kind.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// The conditions of both directions, as a connection sees them change.
struct ConditionReceivers {
    outbound: watch::Receiver<LinkCondition>,
    inbound: watch::Receiver<LinkCondition>,
}

impl ConditionReceivers {
    fn has_cut(&self) -> bool {
        self.outbound.borrow().is_cut || self.inbound.borrow().is_cut
    }
}

/// The link between a balancer and another party.
pub struct Link {
    /// From the balancer.
    outbound: watch::Sender<LinkCondition>,
    /// To the balancer.
    inbound: watch::Sender<LinkCondition>,
    /// Counts the resets of all connections.
    resets: watch::Sender<u64>,
    seed: u64,
    opened_count: AtomicU64,
    /// No fault ever affects it: connections are not relayed, which saves two copies of each byte.
    is_transparent: bool,
}

impl Link {
    fn new(seed: u64, is_transparent: bool) -> Self {
        Self {
            outbound: watch::Sender::default(),
            inbound: watch::Sender::default(),
            resets: watch::Sender::new(0),
            seed,
            opened_count: AtomicU64::new(0),
            is_transparent,
        }
    }

    /// Sets what happens from now on to what travels in each direction.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.outbound.send_replace(conditions.outbound);
        self.inbound.send_replace(conditions.inbound);
    }

    /// Whether nothing passes towards the balancer now.
    pub fn is_inbound_cut(&self) -> bool {
        self.inbound.borrow().is_cut
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// The other party's end of a connection with the balancer, beyond the link.
    pub fn attach(&self, stream: TcpStream) -> Box<dyn Connection> {
        if self.is_transparent {
            return Box::new(stream);
        }
        let (near, far) = duplex(CHUNK_BYTES);
        let seed = self.seed ^ (self.opened_count.fetch_add(1, Ordering::Relaxed) << 20);
        // Subscribed now, not when the task first runs: a cut or a reset in between must affect it.
        let conditions = ConditionReceivers {
            outbound: self.outbound.subscribe(),
            inbound: self.inbound.subscribe(),
        };
        let resets = self.resets.subscribe();
        if conditions.has_cut() {
            tokio::spawn(reset_once_open(stream, far, conditions));
        } else {
            tokio::spawn(relay(stream, far, conditions, resets, seed));
        }
        Box::new(near)
    }
}

/// Retains a connection that was opened while the link was cut: no data passes, and it is reset
/// once the link is open again.
async fn reset_once_open(stream: TcpStream, far: DuplexStream, conditions: ConditionReceivers) {
    for mut condition in [conditions.outbound, conditions.inbound] {
        let _ = condition.wait_for(|condition| !condition.is_cut).await;
    }
    drop((stream, far));
}

/// Relays a connection until both its directions have ended, or it is reset.
async fn relay(
    stream: TcpStream,
    far: DuplexStream,
    conditions: ConditionReceivers,
    mut resets: watch::Receiver<u64>,
    seed: u64,
) {
    let ((balancer_in, balancer_out), (peer_in, peer_out)) = (stream.into_split(), split(far));
    let outbound = relay_direction(balancer_in, peer_out, conditions.outbound, seed);
    let inbound = relay_direction(peer_in, balancer_out, conditions.inbound, !seed);
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => (),
        _ = resets.changed() => (),
    }
}

/// A chunk in transit.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Relays one direction until it ends.
async fn relay_direction(
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
    condition: watch::Receiver<LinkCondition>,
    seed: u64,
) {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_TRANSIT);
    tokio::join!(
        read_chunks(from, sender, condition.clone(), seed),
        write_chunks(receiver, to, condition)
    );
}

async fn read_chunks(
    mut from: impl AsyncRead + Unpin,
    chunks: mpsc::Sender<Chunk>,
    condition: watch::Receiver<LinkCondition>,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut last_due = Instant::now();
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let condition = *condition.borrow();
        let jitter = condition.jitter.mul_f64(rng.random::<f64>());
        let transmission = condition.bytes_per_s.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(length as f64 / f64::from(rate.max(1)))
        });
        // In order, and no sooner than what was sent before it has passed.
        last_due = (Instant::now() + condition.delay + jitter).max(last_due) + transmission;
        let chunk = Chunk {
            due: last_due,
            bytes: buffer[..length].to_vec(),
        };
        if chunks.send(chunk).await.is_err() {
            break;
        }
    }
}

async fn write_chunks(
    mut chunks: mpsc::Receiver<Chunk>,
    mut to: impl AsyncWrite + Unpin,
    mut condition: watch::Receiver<LinkCondition>,
) {
    while let Some(chunk) = chunks.recv().await {
        sleep_until(chunk.due).await;
        let is_open = condition
            .wait_for(|condition| !condition.is_cut)
            .await
            .is_ok();
        if !is_open || to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    let _ = condition.wait_for(|condition| !condition.is_cut).await;
    let _ = to.shutdown().await;
}

/// All links of a run.
pub struct Links {
    seed: u64,
    is_transparent: bool,
    links: Mutex<HashMap<(u32, LinkPeer), Arc<Link>>>,
}

impl Links {
    /// The links of a run with this seed; transparent where no fault of it affects a link.
    pub fn new(seed: u64, is_transparent: bool) -> Arc<Self> {
        Arc::new(Self {
            seed,
            is_transparent,
            links: Mutex::default(),
        })
    }

    /// The link between a balancer and another party.
    pub fn between(&self, balancer: u32, peer: LinkPeer) -> Arc<Link> {
        let number = match peer {
            LinkPeer::Upstream(number) => u64::from(number) + 1,
            LinkPeer::Discovery => 0,
            LinkPeer::Clients => u64::from(u16::MAX),
        };
        let seed = self.seed ^ (u64::from(balancer) << 32) ^ (number << 48);
        let mut links = lock(&self.links);
        let link = links
            .entry((balancer, peer))
            .or_insert_with(|| Arc::new(Link::new(seed, self.is_transparent)));
        Arc::clone(link)
    }
}
