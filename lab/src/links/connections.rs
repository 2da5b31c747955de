//! Links: the ways between two parties, and what happens to what travels on them.
//!
//! A connection through a link is pumped chunk by chunk: each is held until it is due, and while the way is cut.
//! Nothing is lost or reordered on a connection, as TCP would see to that; its time is what suffers.

use crate::experiment::Way;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, duplex, split};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Bytes of a chunk, and chunks that may be under way.
const CHUNK: usize = 16 * 1024;
/// See `CHUNK`.
const UNDER_WAY: usize = 64;

/// Who a balancer has a link for connections with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Other {
    /// An upstream.
    Upstream(u32),
    /// The list service.
    Discovery,
    /// The clients, all together.
    Clients,
}

/// A connection of whatever kind.
pub trait Io: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Io for T {}

/// The ways between a balancer and another party.
pub struct Link {
    /// From the balancer, and back to it.
    ways: [watch::Sender<Way>; 2],
    /// Goes up when all connections are to be reset.
    resets: watch::Sender<u64>,
    seed: u64,
    opened: AtomicU64,
    /// Nothing ever happens on it: connections go through untouched, which spares the lab two copies of each byte.
    plain: bool,
}

impl Link {
    fn new(seed: u64, plain: bool) -> Self {
        let ways = [
            watch::Sender::new(Way::default()),
            watch::Sender::new(Way::default()),
        ];
        Self {
            ways,
            resets: watch::Sender::new(0),
            seed,
            opened: AtomicU64::new(0),
            plain,
        }
    }

    /// What happens from now on to what goes from the balancer, and back to it.
    pub fn set(&self, ways: [Way; 2]) {
        for (sender, way) in self.ways.iter().zip(ways) {
            sender.send_replace(way);
        }
    }

    /// Whether nothing passes towards the balancer now.
    pub fn is_cut_back(&self) -> bool {
        self.ways[1].borrow().cut
    }

    /// Ends all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// The other party's end of a connection with the balancer, as it comes out of the link.
    pub fn through(&self, stream: TcpStream) -> Box<dyn Io> {
        if self.plain {
            return Box::new(stream);
        }
        let (near, far) = duplex(CHUNK);
        let seed = self.seed ^ (self.opened.fetch_add(1, Ordering::Relaxed) << 20);
        // As things stand now, not when the task first runs: a cut or a reset in between must meet it.
        let (ways, resets) = (
            self.ways.each_ref().map(watch::Sender::subscribe),
            self.resets.subscribe(),
        );
        if ways.iter().any(|way| way.borrow().cut) {
            tokio::spawn(refuse(stream, far, ways));
        } else {
            tokio::spawn(carry(stream, far, ways, resets, seed));
        }
        Box::new(near)
    }
}

/// Holds a connection that never really came up: it stays silent, and is reset once the way is back.
async fn refuse(stream: TcpStream, far: DuplexStream, ways: [watch::Receiver<Way>; 2]) {
    for mut way in ways {
        let _ = way.wait_for(|way| !way.cut).await;
    }
    drop((stream, far));
}

/// Carries a connection until both its directions have ended, or it is reset.
async fn carry(
    stream: TcpStream,
    far: DuplexStream,
    [to, back]: [watch::Receiver<Way>; 2],
    mut resets: watch::Receiver<u64>,
    seed: u64,
) {
    let ((net_in, net_out), (far_in, far_out)) = (stream.into_split(), split(far));
    let both = async {
        tokio::join!(
            pump(net_in, far_out, to, seed),
            pump(far_in, net_out, back, !seed)
        )
    };
    tokio::select! {
        _ = both => (),
        _ = resets.changed() => (),
    }
}

/// Carries what comes in one direction until it ends.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut way: watch::Receiver<Way>,
    seed: u64,
) {
    let (chunks, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(UNDER_WAY);
    let now = way.clone();
    let reading = async move {
        let (mut rng, mut last, mut buffer) = (
            ChaCha8Rng::seed_from_u64(seed),
            Instant::now(),
            vec![0; CHUNK],
        );
        while let Ok(n @ 1..) = from.read(&mut buffer).await {
            let way = *now.borrow();
            let jitter = way.jitter.mul_f64(rng.random::<f64>());
            let sending = way.bytes_per_s.map_or(Duration::ZERO, |rate| {
                Duration::from_secs_f64(n as f64 / f64::from(rate.max(1)))
            });
            // In order, and no sooner than what was sent before it has passed.
            last = (Instant::now() + way.delay + jitter).max(last) + sending;
            if chunks.send((last, buffer[..n].to_vec())).await.is_err() {
                break;
            }
        }
    };
    let writing = async move {
        while let Some((when, chunk)) = due.recv().await {
            sleep_until(when).await;
            if way.wait_for(|way| !way.cut).await.is_err() || to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _ = way.wait_for(|way| !way.cut).await;
        let _ = to.shutdown().await;
    };
    tokio::join!(reading, writing);
}

/// All links of a play.
pub struct Links {
    seed: u64,
    plain: bool,
    links: Mutex<HashMap<(u32, Other), Arc<Link>>>,
}

impl Links {
    /// Those of a play with this seed; `plain` where no fault of it meets a link.
    pub fn new(seed: u64, plain: bool) -> Arc<Self> {
        Arc::new(Self {
            seed,
            plain,
            links: Mutex::default(),
        })
    }

    /// The link between a balancer and another party.
    pub fn between(&self, balancer: u32, other: Other) -> Arc<Link> {
        let number = match other {
            Other::Upstream(n) => u64::from(n) + 1,
            Other::Discovery => 0,
            Other::Clients => u64::from(u16::MAX),
        };
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let seed = self.seed ^ (u64::from(balancer) << 32) ^ (number << 48);
        Arc::clone(
            links
                .entry((balancer, other))
                .or_insert_with(|| Arc::new(Link::new(seed, self.plain))),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    /// A client's end, and the other party's end behind the link.
    async fn connected(link: &Arc<Link>) -> (TcpStream, Box<dyn Io>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let client = TcpStream::connect(listener.local_addr().expect("an address"))
            .await
            .expect("up");
        (
            client,
            link.through(listener.accept().await.expect("accepted").0),
        )
    }

    async fn arrives(client: &mut TcpStream, server: &mut Box<dyn Io>, text: &[u8]) {
        client.write_all(text).await.expect("written");
        let mut got = vec![0; text.len()];
        server.read_exact(&mut got).await.expect("read");
        assert_eq!(got, text);
    }

    #[tokio::test]
    async fn a_plain_link_carries_both_ways_and_its_end() {
        let link = Links::new(1, false).between(0, Other::Discovery);
        let (mut client, mut server) = connected(&link).await;
        arrives(&mut client, &mut server, b"there").await;
        server.write_all(b"back").await.expect("written");
        drop(server);
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).await.expect("read");
        assert_eq!(rest, b"back");
    }

    #[tokio::test]
    async fn what_is_delayed_comes_no_sooner() {
        let link = Links::new(1, false).between(0, Other::Upstream(3));
        let delay = Duration::from_millis(80);
        link.set([
            Way {
                delay,
                ..Way::default()
            },
            Way::default(),
        ]);
        let (mut client, mut server) = connected(&link).await;
        let start = Instant::now();
        arrives(&mut client, &mut server, b"late").await;
        assert!(start.elapsed() >= delay);
    }

    #[tokio::test]
    async fn a_cut_holds_what_was_sent_one_way_and_lets_it_go_on() {
        let link = Links::new(1, false).between(0, Other::Upstream(3));
        let (mut client, mut server) = connected(&link).await;
        arrives(&mut client, &mut server, b"before").await;
        link.set([
            Way {
                cut: true,
                ..Way::default()
            },
            Way::default(),
        ]);
        client.write_all(b"held").await.expect("written");
        server.write_all(b"back").await.expect("written");
        let mut got = [0; 4];
        client
            .read_exact(&mut got)
            .await
            .expect("the other way is open");
        let mut held = [0; 4];
        let waited =
            tokio::time::timeout(Duration::from_millis(60), server.read_exact(&mut held)).await;
        assert!(waited.is_err(), "nothing comes through a cut");
        link.set([Way::default(), Way::default()]);
        server.read_exact(&mut held).await.expect("it goes on");
        assert_eq!(&held, b"held");
    }

    #[tokio::test]
    async fn a_reset_ends_what_is_open_and_a_cut_what_came_meanwhile() {
        let link = Links::new(1, false).between(0, Other::Upstream(3));
        let (mut client, _server) = connected(&link).await;
        link.reset();
        assert!(!matches!(client.read(&mut [0; 1]).await, Ok(1..)));
        link.set([
            Way {
                cut: true,
                ..Way::default()
            },
            Way::default(),
        ]);
        let (mut client, _server) = connected(&link).await;
        link.set([Way::default(), Way::default()]);
        assert!(!matches!(client.read(&mut [0; 1]).await, Ok(1..)));
    }
}
