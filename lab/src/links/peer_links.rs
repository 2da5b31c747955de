//! Links that carry datagrams between balancers.
//!
//! For each ordered pair of balancers, the lab binds a relay socket. The first balancer of the pair
//! sends its datagrams for the second to this socket. The lab delivers the datagrams to the second
//! balancer under the conditions of the link, from the relay socket of the opposite pair.

use super::{DatagramSamples, LinkMatrix, delivery_delays, pair_address};
use crate::experiment::LinkConditions;
use crate::sync::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The largest number of delayed datagrams in transit; further delayed datagrams are lost, as on a
/// real link.
const MAX_DELAYED_DATAGRAMS: usize = 20_000;
/// The size of the receive buffer, in bytes, larger than any datagram of the protocol.
const BUFFER_BYTES: usize = 512;
/// The interval between batches of injected corrupted datagrams.
const INJECTION_INTERVAL: Duration = Duration::from_millis(10);
/// The address that the peer list of a balancer contains for the balancer itself; no socket listens
/// there.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

/// The number and size of the datagrams that balancers have sent to each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The number of datagrams that balancers have sent.
    pub datagrams: u64,
    /// The sum of the lengths of these datagrams, in bytes, without UDP and IP headers.
    pub bytes: u64,
}

impl Traffic {
    /// Returns the traffic since `earlier`, which is an earlier total.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            datagrams: self.datagrams - earlier.datagrams,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// All links of a run that carry datagrams.
pub struct PeerLinks {
    /// The relay sockets, indexed by the number of the sending balancer, then by the number of the
    /// receiving balancer; `None` if both numbers are equal.
    relay_sockets: Vec<Vec<Option<Arc<UdpSocket>>>>,
    /// The address at which each balancer receives datagrams, by balancer number; `None` until the
    /// balancer has logged it.
    balancer_addresses: Vec<Mutex<Option<SocketAddr>>>,
    conditions: Mutex<LinkMatrix>,
    samples: Mutex<DatagramSamples>,
    /// Whether datagrams are recorded, because a fault of the run sends them again.
    records_samples: bool,
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    /// Limits the number of delayed datagrams in transit; each such datagram holds one permit.
    transit_permits: Arc<Semaphore>,
    seed: u64,
}

impl PeerLinks {
    /// Binds a relay socket for each ordered pair of `count` balancers.
    pub async fn bind(count: u32, seed: u64, records_samples: bool) -> io::Result<Arc<Self>> {
        let mut relay_sockets = Vec::new();
        for sender in 0..count {
            let mut row = Vec::new();
            for peer in 0..count {
                row.push(match sender == peer {
                    true => None,
                    false => Some(Arc::new(
                        UdpSocket::bind((pair_address(sender, peer), 0)).await?,
                    )),
                });
            }
            relay_sockets.push(row);
        }
        Ok(Arc::new(Self {
            relay_sockets,
            balancer_addresses: (0..count).map(|_| Mutex::default()).collect(),
            conditions: Mutex::new(LinkMatrix::new(count)),
            samples: Mutex::default(),
            records_samples,
            sent_datagrams: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            transit_permits: Arc::new(Semaphore::new(MAX_DELAYED_DATAGRAMS)),
            seed,
        }))
    }

    /// Returns the number of relay sockets for this number of balancers.
    pub fn socket_count(balancers: u32) -> u64 {
        u64::from(balancers) * u64::from(balancers.saturating_sub(1))
    }

    /// Returns the addresses at which `balancer` reaches each balancer of the run, indexed by the
    /// number of the receiver. The entry for `balancer` itself is an address where no socket
    /// listens.
    pub fn addresses_for(&self, balancer: u32) -> Vec<String> {
        let row = self
            .relay_sockets
            .get(balancer as usize)
            .into_iter()
            .flatten();
        row.map(
            |socket| match socket.as_ref().map(|socket| socket.local_addr()) {
                Some(Ok(address)) => address.to_string(),
                _ => UNREACHABLE_ADDRESS.into(),
            },
        )
        .collect()
    }

    /// Sets the address to which the datagrams for a balancer are delivered.
    pub fn set_address(&self, balancer: u32, address: SocketAddr) {
        if let Some(current) = self.balancer_addresses.get(balancer as usize) {
            *lock(current) = Some(address);
        }
    }

    /// Sets the conditions between each target and each peer, as
    /// [`LinkMatrix::set_conditions`] does.
    pub fn set_conditions(&self, targets: &[u32], peers: &[u32], conditions: LinkConditions) {
        let mut matrix = lock(&self.conditions);
        matrix.set_conditions(targets, peers, conditions);
    }

    /// Returns the traffic that the balancers have sent, without injected datagrams.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            datagrams: self.sent_datagrams.load(Ordering::Relaxed),
            bytes: self.sent_bytes.load(Ordering::Relaxed),
        }
    }

    /// Spawns the tasks that relay datagrams. Relaying ends when the tasks are aborted.
    pub fn spawn_relays(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        for (from, row) in (0u32..).zip(&self.relay_sockets) {
            for (to, socket) in (0u32..).zip(row) {
                if let Some(socket) = socket {
                    tasks.spawn(Arc::clone(self).relay(from, to, Arc::clone(socket)));
                }
            }
        }
    }

    async fn relay(self: Arc<Self>, from: u32, to: u32, socket: Arc<UdpSocket>) {
        let seed = self.seed ^ (u64::from(from) << 40) ^ (u64::from(to) << 16);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
                // The error reports that the receiver of an earlier datagram was not listening.
                continue;
            };
            if self.balancer_address(from) == Some(source) {
                self.forward(from, to, &buffer[..length], &mut rng);
            }
        }
    }

    /// Counts and records a datagram, and delivers it under the conditions of its link.
    fn forward(self: &Arc<Self>, from: u32, to: u32, datagram: &[u8], rng: &mut ChaCha8Rng) {
        self.sent_datagrams.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes
            .fetch_add(datagram.len() as u64, Ordering::Relaxed);
        if self.records_samples {
            lock(&self.samples).add(datagram);
        }
        let condition = lock(&self.conditions).condition(from, to);
        for delay in delivery_delays(&condition, rng) {
            if delay.is_zero() {
                self.deliver(from, to, datagram);
            } else if let Ok(permit) = Arc::clone(&self.transit_permits).try_acquire_owned() {
                let (links, datagram) = (Arc::clone(self), datagram.to_vec());
                tokio::spawn(async move {
                    sleep(delay).await;
                    links.deliver(from, to, &datagram);
                    drop(permit);
                });
            }
        }
    }

    fn balancer_address(&self, balancer: u32) -> Option<SocketAddr> {
        let address = self.balancer_addresses.get(balancer as usize)?;
        *lock(address)
    }

    /// Sends a datagram to the balancer `to`, from the relay socket at whose address `to` reaches
    /// `from`. To the receiver, `from` is the sender.
    fn deliver(&self, from: u32, to: u32, datagram: &[u8]) {
        let socket = self
            .relay_sockets
            .get(to as usize)
            .and_then(|row| row.get(from as usize)?.as_ref());
        if let (Some(socket), Some(address)) = (socket, self.balancer_address(to)) {
            // If the send buffer is full, the datagram is lost, as on a real link.
            let _ = socket.try_send_to(datagram, address);
        }
    }

    /// Sends the recorded datagrams from each of the senders to all other balancers.
    pub fn replay(&self, senders: &[u32]) {
        let samples = lock(&self.samples);
        for datagram in samples.all() {
            for to in 0..self.balancer_addresses.len() as u32 {
                for from in senders.iter().filter(|from| **from != to) {
                    self.deliver(*from, to, datagram);
                }
            }
        }
    }

    /// Sends `rate_per_s` corrupted datagrams per second, each from a random one of the senders to
    /// a random balancer. If the drawn receiver is the sender itself, the datagram is not sent.
    pub async fn inject_corrupted(
        self: Arc<Self>,
        senders: Vec<u32>,
        rate_per_s: f64,
        duration: Duration,
        seed: u64,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut remaining, mut due_datagrams) = (duration, 0.0);
        while !remaining.is_zero() && !senders.is_empty() {
            due_datagrams += rate_per_s * INJECTION_INTERVAL.as_secs_f64();
            while due_datagrams >= 1.0 {
                due_datagrams -= 1.0;
                let from = senders[rng.random_range(0..senders.len())];
                let to = rng.random_range(0..self.balancer_addresses.len()) as u32;
                let samples = lock(&self.samples);
                let datagram = samples.corrupted(&mut rng);
                drop(samples);
                if from != to {
                    self.deliver(from, to, &datagram);
                }
            }
            sleep(INJECTION_INTERVAL).await;
            remaining = remaining.saturating_sub(INJECTION_INTERVAL);
        }
    }
}
