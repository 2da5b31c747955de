//! Links for datagrams: between each two balancers a socket for either way, so that each reaches each other at an
//! address of its own, and what goes between them meets the faults of the way.

use crate::experiment::Way;
use crate::links::datagrams::{Kept, Ways, copies};
use crate::standins::upstreams::pair_address;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Datagrams under way that are late: more are lost, as on a real way.
const UNDER_WAY: usize = 20_000;
/// Longer than any datagram that is meant.
const BUFFER: usize = 512;

/// All links for datagrams of a play.
pub struct Peers {
    /// By whom it is reached at, then by whom it stands for.
    sockets: Vec<Vec<Option<Arc<UdpSocket>>>>,
    /// Where each balancer really is.
    real: Vec<Mutex<Option<SocketAddr>>>,
    ways: Mutex<Ways>,
    kept: Mutex<Kept>,
    /// Some fault needs what passes to be kept.
    keeps: bool,
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    under_way: Arc<Semaphore>,
    seed: u64,
}

impl Peers {
    /// Takes the addresses for so many balancers.
    pub async fn bind(count: u32, seed: u64, keeps: bool) -> io::Result<Arc<Self>> {
        let mut sockets = Vec::new();
        for at in 0..count {
            let mut row = Vec::new();
            for other in 0..count {
                row.push(match at == other {
                    true => None,
                    false => Some(Arc::new(
                        UdpSocket::bind((pair_address(at, other), 0)).await?,
                    )),
                });
            }
            sockets.push(row);
        }
        Ok(Arc::new(Self {
            sockets,
            real: (0..count).map(|_| Mutex::default()).collect(),
            ways: Mutex::new(Ways::new(count)),
            kept: Mutex::default(),
            keeps,
            sent: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            under_way: Arc::new(Semaphore::new(UNDER_WAY)),
            seed,
        }))
    }

    /// How many sockets so many balancers take.
    pub fn needs(count: u32) -> u64 {
        u64::from(count) * u64::from(count.saturating_sub(1))
    }

    /// By number, where one balancer reaches all; itself nowhere.
    pub fn addresses(&self, of: u32) -> Vec<String> {
        let row = self.sockets.get(of as usize).into_iter().flatten();
        let address =
            |socket: &Option<Arc<UdpSocket>>| match socket.as_ref().map(|s| s.local_addr()) {
                Some(Ok(address)) => address.to_string(),
                _ => "127.0.0.1:1".into(),
            };
        row.map(address).collect()
    }

    /// A balancer is at an address from now on.
    pub fn at(&self, balancer: u32, address: SocketAddr) {
        if let Some(real) = self.real.get(balancer as usize) {
            *real.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
        }
    }

    /// The ways between some and some others from now on: there, and back.
    pub fn set(&self, some: &[u32], others: &[u32], ways: [Way; 2]) {
        self.ways
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set(some, others, ways);
    }

    /// Datagrams that balancers have sent so far, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        (
            self.sent.load(Ordering::Relaxed),
            self.sent_bytes.load(Ordering::Relaxed),
        )
    }

    /// Carries datagrams for as long as the tasks live.
    pub fn carry(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        for (from, row) in (0u32..).zip(&self.sockets) {
            for (to, socket) in (0u32..).zip(row) {
                if let Some(socket) = socket {
                    tasks.spawn(Arc::clone(self).one(from, to, Arc::clone(socket)));
                }
            }
        }
    }

    async fn one(self: Arc<Self>, from: u32, to: u32, socket: Arc<UdpSocket>) {
        let seed = self.seed ^ (u64::from(from) << 40) ^ (u64::from(to) << 16);
        let (mut chance, mut buffer) = (ChaCha8Rng::seed_from_u64(seed), [0; BUFFER]);
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
                // What the other end of a loopback socket says about a datagram before.
                continue;
            };
            if self.real(from) != Some(source) {
                continue;
            }
            let datagram = &buffer[..length];
            self.sent.fetch_add(1, Ordering::Relaxed);
            self.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
            if self.keeps {
                self.kept
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .keep(datagram);
            }
            let way = self
                .ways
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .way(from, to);
            for after in copies(&way, &mut chance) {
                if after.is_zero() {
                    self.hand_over(from, to, datagram);
                } else if let Ok(slot) = Arc::clone(&self.under_way).try_acquire_owned() {
                    let (peers, datagram) = (Arc::clone(&self), datagram.to_vec());
                    tokio::spawn(async move {
                        sleep(after).await;
                        peers.hand_over(from, to, &datagram);
                        drop(slot);
                    });
                }
            }
        }
    }

    fn real(&self, balancer: u32) -> Option<SocketAddr> {
        *self
            .real
            .get(balancer as usize)?
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// What one sent reaches another one from the address at which that one knows it.
    fn hand_over(&self, from: u32, to: u32, datagram: &[u8]) {
        let socket = self
            .sockets
            .get(to as usize)
            .and_then(|row| row.get(from as usize)?.as_ref());
        if let (Some(socket), Some(address)) = (socket, self.real(to)) {
            // Full: lost, as on a real way.
            let _ = socket.try_send_to(datagram, address);
        }
    }

    /// The first datagrams that passed come once more, from some to all.
    pub fn replay(&self, some: &[u32]) {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        for datagram in kept.all() {
            for to in 0..self.real.len() as u32 {
                some.iter()
                    .filter(|from| **from != to)
                    .for_each(|from| self.hand_over(*from, to, datagram));
            }
        }
    }

    /// Bad datagrams come in the name of some, so many a second, for so long.
    pub async fn storm(self: Arc<Self>, some: Vec<u32>, rate: f64, lasts: Duration, seed: u64) {
        let (mut chance, every) = (ChaCha8Rng::seed_from_u64(seed), Duration::from_millis(10));
        let (mut left, mut owed) = (lasts, 0.0);
        while !left.is_zero() && !some.is_empty() {
            owed += rate * every.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                let from = some[chance.random_range(0..some.len())];
                let to = chance.random_range(0..self.real.len()) as u32;
                let datagram = self
                    .kept
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .bad(&mut chance);
                if from != to {
                    self.hand_over(from, to, &datagram);
                }
            }
            sleep(every).await;
            left = left.saturating_sub(every);
        }
    }
}
