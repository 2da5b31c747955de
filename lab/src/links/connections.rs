//! Links that carry connections, and the effect of the link conditions on their traffic.
//!
//! A connection through a link is relayed in chunks. Each chunk waits until it is due and until its
//! direction of the link is not cut. As with TCP, no data is lost or reordered: conditions change
//! only the timing.

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

/// The size of the largest chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// The largest number of chunks in transit in one direction of a connection.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;

/// The party that a link connects with a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkPeer {
    /// An upstream, by number.
    Upstream(u32),
    /// The discovery service, a stand-in or a real registry.
    Discovery,
    /// All clients, which share one link with each balancer.
    Clients,
}

/// A byte stream in both directions: a TCP stream or an end of a relayed connection.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// The receivers through which one connection learns the current conditions of its link.
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
    /// The condition of the direction from the balancer to the other party.
    outbound: watch::Sender<LinkCondition>,
    /// The condition of the direction from the other party to the balancer.
    inbound: watch::Sender<LinkCondition>,
    /// The number of times that all connections have been reset.
    resets: watch::Sender<u64>,
    seed: u64,
    /// The number of connections attached so far, from which each connection gets its own seed.
    attached_count: AtomicU64,
    /// Whether connections bypass the relay, which saves two copies of each byte. Set if no fault
    /// of the run affects a link.
    is_transparent: bool,
}

impl Link {
    fn new(seed: u64, is_transparent: bool) -> Self {
        Self {
            outbound: watch::Sender::default(),
            inbound: watch::Sender::default(),
            resets: watch::Sender::new(0),
            seed,
            attached_count: AtomicU64::new(0),
            is_transparent,
        }
    }

    /// Sets the conditions of both directions, for open and for new connections.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.outbound.send_replace(conditions.outbound);
        self.inbound.send_replace(conditions.inbound);
    }

    /// Returns whether the direction towards the balancer is blocked.
    pub fn is_inbound_cut(&self) -> bool {
        self.inbound.borrow().is_cut
    }

    /// Resets all open connections, except connections that were opened during a cut. The end of
    /// the cut resets these connections.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Relays the TCP connection `stream` between the other party and the balancer through the
    /// link. Returns the stream that the other party must use in place of `stream`; the relay reads
    /// and writes `stream` itself. A transparent link returns `stream` unchanged.
    pub fn attach(&self, stream: TcpStream) -> Box<dyn Connection> {
        if self.is_transparent {
            return Box::new(stream);
        }
        let (peer_end, relay_end) = duplex(CHUNK_BYTES);
        let seed = self.seed ^ (self.attached_count.fetch_add(1, Ordering::Relaxed) << 20);
        // Subscribes before the task is spawned, so that a cut or a reset that happens before the
        // task first runs affects the connection.
        let conditions = ConditionReceivers {
            outbound: self.outbound.subscribe(),
            inbound: self.inbound.subscribe(),
        };
        let resets = self.resets.subscribe();
        if conditions.has_cut() {
            tokio::spawn(reset_once_open(stream, relay_end, conditions));
        } else {
            tokio::spawn(relay(stream, relay_end, conditions, resets, seed));
        }
        Box::new(peer_end)
    }
}

/// Holds a connection that was accepted during a cut: relays no data, and resets the connection
/// when the cut ends.
async fn reset_once_open(
    stream: TcpStream,
    relay_end: DuplexStream,
    conditions: ConditionReceivers,
) {
    for mut condition in [conditions.outbound, conditions.inbound] {
        let _ = condition.wait_for(|condition| !condition.is_cut).await;
    }
    drop((stream, relay_end));
}

/// Relays a connection until both directions have ended or the connection is reset.
async fn relay(
    stream: TcpStream,
    relay_end: DuplexStream,
    conditions: ConditionReceivers,
    mut resets: watch::Receiver<u64>,
    seed: u64,
) {
    let ((balancer_reader, balancer_writer), (peer_reader, peer_writer)) =
        (stream.into_split(), split(relay_end));
    let outbound = relay_direction(balancer_reader, peer_writer, conditions.outbound, seed);
    let inbound = relay_direction(peer_reader, balancer_writer, conditions.inbound, !seed);
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => (),
        _ = resets.changed() => (),
    }
}

/// A piece of the data of a connection in transit, with the earliest time of its delivery.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Relays one direction of a connection until it ends.
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

/// Reads chunks until the stream ends, and computes the time at which each chunk is due. The
/// condition of the link at the time of the read determines the delay.
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
        let transmission_time = condition.bytes_per_s.map_or(Duration::ZERO, |bytes_per_s| {
            Duration::from_secs_f64(length as f64 / f64::from(bytes_per_s.max(1)))
        });
        // Chunks stay in order: the transmission of a chunk begins after that of the previous one.
        last_due = (Instant::now() + condition.delay + jitter).max(last_due) + transmission_time;
        let chunk = Chunk {
            due: last_due,
            bytes: buffer[..length].to_vec(),
        };
        if chunks.send(chunk).await.is_err() {
            break;
        }
    }
}

/// Writes each chunk when it is due. A chunk that is due during a cut is written when the cut ends.
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

/// All links of a run that carry connections.
pub struct Links {
    seed: u64,
    is_transparent: bool,
    links: Mutex<HashMap<(u32, LinkPeer), Arc<Link>>>,
}

impl Links {
    /// Creates the links of a run with this seed. `is_transparent` states that no fault of the run
    /// affects a link.
    pub fn new(seed: u64, is_transparent: bool) -> Arc<Self> {
        Arc::new(Self {
            seed,
            is_transparent,
            links: Mutex::default(),
        })
    }

    /// Returns the link between a balancer and another party. The first call for a pair creates the
    /// link.
    pub fn between(&self, balancer: u32, peer: LinkPeer) -> Arc<Link> {
        let peer_key = match peer {
            LinkPeer::Upstream(number) => u64::from(number) + 1,
            LinkPeer::Discovery => 0,
            LinkPeer::Clients => u64::from(u16::MAX),
        };
        let seed = self.seed ^ (u64::from(balancer) << 32) ^ (peer_key << 48);
        let mut links = lock(&self.links);
        let link = links
            .entry((balancer, peer))
            .or_insert_with(|| Arc::new(Link::new(seed, self.is_transparent)));
        Arc::clone(link)
    }
}
