//! Links that carry datagrams between balancers.
//!
//! Each ordered pair of balancers has a socket, at whose address the first balancer reaches the
//! second. The lab relays the datagrams between these sockets under the conditions of the link.

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

/// The largest number of delayed datagrams in transit; further ones are lost, as on a real link.
const MAX_DELAYED_DATAGRAMS: usize = 20_000;
/// The size of the receive buffer, in bytes, larger than any datagram of the protocol.
const BUFFER_BYTES: usize = 512;
/// The interval between batches of injected corrupted datagrams.
const INJECTION_INTERVAL: Duration = Duration::from_millis(10);
/// The address in a balancer's own entry of its peer list, where no socket listens.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

/// The number and size of the datagrams that balancers have sent to each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The number of datagrams that balancers have sent.
    pub datagrams: u64,
    /// The sum of their lengths, in bytes, without headers of UDP and IP.
    pub bytes: u64,
}

impl Traffic {
    /// Returns the traffic since an earlier count.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            datagrams: self.datagrams - earlier.datagrams,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// All links of a run that carry datagrams.
pub struct PeerLinks {
    /// The sockets by the number of the balancer that sends to them, then by the number of the
    /// balancer that they represent; `None` for a balancer and itself.
    sockets: Vec<Vec<Option<Arc<UdpSocket>>>>,
    /// The address of each balancer's own socket, by number; `None` until it has started.
    addresses: Vec<Mutex<Option<SocketAddr>>>,
    conditions: Mutex<LinkMatrix>,
    samples: Mutex<DatagramSamples>,
    /// Whether datagrams are recorded, because a fault of the run sends them again.
    keeps_samples: bool,
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    /// One permit for each delayed datagram that may be in transit.
    in_transit: Arc<Semaphore>,
    seed: u64,
}

impl PeerLinks {
    /// Binds the sockets for `count` balancers.
    pub async fn bind(count: u32, seed: u64, keeps_samples: bool) -> io::Result<Arc<Self>> {
        let mut sockets = Vec::new();
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
            sockets.push(row);
        }
        Ok(Arc::new(Self {
            sockets,
            addresses: (0..count).map(|_| Mutex::default()).collect(),
            conditions: Mutex::new(LinkMatrix::new(count)),
            samples: Mutex::default(),
            keeps_samples,
            sent_datagrams: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            in_transit: Arc::new(Semaphore::new(MAX_DELAYED_DATAGRAMS)),
            seed,
        }))
    }

    /// Returns the number of sockets that this number of balancers needs.
    pub fn socket_count(balancers: u32) -> u64 {
        u64::from(balancers) * u64::from(balancers.saturating_sub(1))
    }

    /// Returns the addresses at which one balancer reaches the others, by number. Its own entry is
    /// an address where no socket listens.
    pub fn addresses_for(&self, balancer: u32) -> Vec<String> {
        let row = self.sockets.get(balancer as usize).into_iter().flatten();
        row.map(
            |socket| match socket.as_ref().map(|socket| socket.local_addr()) {
                Some(Ok(address)) => address.to_string(),
                _ => UNREACHABLE_ADDRESS.into(),
            },
        )
        .collect()
    }

    /// Sets the address of a balancer's own socket, to which its datagrams are delivered.
    pub fn set_address(&self, balancer: u32, address: SocketAddr) {
        if let Some(current) = self.addresses.get(balancer as usize) {
            *lock(current) = Some(address);
        }
    }

    /// Sets the conditions between each target and each peer.
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

    /// Spawns the tasks that relay datagrams; relaying ends when they are aborted.
    pub fn spawn_relays(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        for (from, row) in (0u32..).zip(&self.sockets) {
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
            if self.address(from) == Some(source) {
                self.forward(from, to, &buffer[..length], &mut rng);
            }
        }
    }

    /// Counts and records a datagram, and delivers it under the conditions of its link.
    fn forward(self: &Arc<Self>, from: u32, to: u32, datagram: &[u8], rng: &mut ChaCha8Rng) {
        self.sent_datagrams.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes
            .fetch_add(datagram.len() as u64, Ordering::Relaxed);
        if self.keeps_samples {
            lock(&self.samples).add(datagram);
        }
        let condition = lock(&self.conditions).condition(from, to);
        for delay in delivery_delays(&condition, rng) {
            if delay.is_zero() {
                self.deliver(from, to, datagram);
            } else if let Ok(permit) = Arc::clone(&self.in_transit).try_acquire_owned() {
                let (links, datagram) = (Arc::clone(self), datagram.to_vec());
                tokio::spawn(async move {
                    sleep(delay).await;
                    links.deliver(from, to, &datagram);
                    drop(permit);
                });
            }
        }
    }

    fn address(&self, balancer: u32) -> Option<SocketAddr> {
        let address = self.addresses.get(balancer as usize)?;
        *lock(address)
    }

    /// Sends a datagram to the balancer `to`, from the socket at which `to` reaches `from`.
    fn deliver(&self, from: u32, to: u32, datagram: &[u8]) {
        let socket = self
            .sockets
            .get(to as usize)
            .and_then(|row| row.get(from as usize)?.as_ref());
        if let (Some(socket), Some(address)) = (socket, self.address(to)) {
            // If the send buffer is full, the datagram is lost, as on a real link.
            let _ = socket.try_send_to(datagram, address);
        }
    }

    /// Sends the recorded datagrams from each of the senders to all other balancers.
    pub fn replay(&self, senders: &[u32]) {
        let samples = lock(&self.samples);
        for datagram in samples.all() {
            for to in 0..self.addresses.len() as u32 {
                for from in senders.iter().filter(|from| **from != to) {
                    self.deliver(*from, to, datagram);
                }
            }
        }
    }

    /// Sends corrupted datagrams, each from a random one of the senders to a random balancer.
    /// Nothing is sent if the draw gives the sender itself as receiver.
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
                let to = rng.random_range(0..self.addresses.len()) as u32;
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
