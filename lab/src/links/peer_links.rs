//! Links for datagrams: a socket for each ordered pair of balancers, so that each reaches each
//! other one at an address of its own, and what passes between them is subject to the conditions of
//! the link.

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

/// Delayed datagrams in transit: more are lost, as on a real link.
const MAX_IN_TRANSIT: usize = 20_000;
/// Longer than any datagram of the protocol, in bytes.
const BUFFER_BYTES: usize = 512;
/// The interval at which corrupted datagrams are injected.
const INJECTION_INTERVAL: Duration = Duration::from_millis(10);
/// The address of a balancer for itself: no socket listens there.
const UNREACHABLE: &str = "127.0.0.1:1";

/// What balancers have sent to each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// What was sent since an earlier count.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            datagrams: self.datagrams - earlier.datagrams,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// All links for datagrams of a run.
pub struct PeerLinks {
    /// By the balancer that sends to it, then by the balancer that it represents.
    sockets: Vec<Vec<Option<Arc<UdpSocket>>>>,
    /// By balancer, its own address.
    addresses: Vec<Mutex<Option<SocketAddr>>>,
    conditions: Mutex<LinkMatrix>,
    samples: Mutex<DatagramSamples>,
    /// A fault sends datagrams again.
    keeps_samples: bool,
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    in_transit: Arc<Semaphore>,
    seed: u64,
}

impl PeerLinks {
    /// Binds the sockets for so many balancers.
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
            in_transit: Arc::new(Semaphore::new(MAX_IN_TRANSIT)),
            seed,
        }))
    }

    /// How many sockets so many balancers take.
    pub fn socket_count(balancers: u32) -> u64 {
        u64::from(balancers) * u64::from(balancers.saturating_sub(1))
    }

    /// By number, where one balancer reaches all of them.
    pub fn addresses_for(&self, balancer: u32) -> Vec<String> {
        let row = self.sockets.get(balancer as usize).into_iter().flatten();
        row.map(
            |socket| match socket.as_ref().map(|socket| socket.local_addr()) {
                Some(Ok(address)) => address.to_string(),
                _ => UNREACHABLE.into(),
            },
        )
        .collect()
    }

    /// Sets a balancer's own address.
    pub fn set_address(&self, balancer: u32, address: SocketAddr) {
        if let Some(current) = self.addresses.get(balancer as usize) {
            *lock(current) = Some(address);
        }
    }

    /// Sets the conditions between some balancers and their peers.
    pub fn set_conditions(&self, targets: &[u32], peers: &[u32], conditions: LinkConditions) {
        let mut matrix = lock(&self.conditions);
        matrix.set_conditions(targets, peers, conditions);
    }

    /// What balancers have sent so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            datagrams: self.sent_datagrams.load(Ordering::Relaxed),
            bytes: self.sent_bytes.load(Ordering::Relaxed),
        }
    }

    /// Relays datagrams for as long as the tasks live.
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
                // The error concerns an earlier datagram, which the other end of the socket
                // rejected.
                continue;
            };
            if self.address(from) == Some(source) {
                self.forward(from, to, &buffer[..length], &mut rng);
            }
        }
    }

    /// Delivers a datagram under the conditions of its link.
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

    /// Delivers a datagram from the address at which its receiver knows the sender.
    fn deliver(&self, from: u32, to: u32, datagram: &[u8]) {
        let socket = self
            .sockets
            .get(to as usize)
            .and_then(|row| row.get(from as usize)?.as_ref());
        if let (Some(socket), Some(address)) = (socket, self.address(to)) {
            // A full socket loses it, as a real link does.
            let _ = socket.try_send_to(datagram, address);
        }
    }

    /// Sends the first datagrams that passed once more, in the name of some to all.
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

    /// Sends corrupted datagrams in the name of some, so many a second, for so long.
    pub async fn inject_corrupted(
        self: Arc<Self>,
        senders: Vec<u32>,
        rate_per_s: f64,
        duration: Duration,
        seed: u64,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut remaining, mut owed) = (duration, 0.0);
        while !remaining.is_zero() && !senders.is_empty() {
            owed += rate_per_s * INJECTION_INTERVAL.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
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
