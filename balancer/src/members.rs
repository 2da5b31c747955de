//! Who else there is: the membership's state machine between a datagram socket, the clock, the log and a page.
//!
//! It decides nothing of the balancer's, and is there only where the configuration names it.

use crate::config;
use bytes::Bytes;
use frostkeel_membership::{Config, Counters, MemberRecord, Membership, Output, PeerIndex, Phase};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::cell::RefCell;
use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Longer than any datagram that is meant: what fills it is too long.
const BUFFER: usize = 512;
/// Datagrams taken in before timers are looked at again.
const AT_ONCE: usize = 256;
/// Readers of the page at once, and how long one may take.
const READERS: usize = 4;
const READER_TAKES: Duration = Duration::from_secs(5);

/// This balancer's part in the membership.
pub struct Members {
    machine: RefCell<Membership>,
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    places: FxHashMap<SocketAddr, PeerIndex>,
    fleet: String,
    start: Instant,
    /// The machine may be due sooner than it was.
    sooner: Notify,
}

/// The page, in JSON.
#[derive(Serialize)]
struct Page<'a> {
    fleet: &'a str,
    name: &'a str,
    phase: Phase,
    /// 0: well.
    slowness: u32,
    version: u64,
    /// Equal for equal views of who is there.
    digest: String,
    there: usize,
    members: Vec<Row<'a>>,
    counters: Counters,
}

#[derive(Serialize)]
struct Row<'a> {
    name: &'a str,
    place: u16,
    incarnation: u64,
    turn: u16,
    standing: frostkeel_membership::MemberState,
    since_s: f64,
    from: Option<&'a str>,
}

impl Members {
    /// Joins, and takes part until the process ends.
    pub async fn start(config: &config::Members, seed: u64) -> Result<Rc<Self>, Box<dyn Error>> {
        let boot = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let machine = Membership::new(
            Config {
                fleet: config.fleet.clone(),
                name: config.name,
                peer: config.place,
                peer_count: config.peers.len() as u16,
                incarnation: boot,
                max_members: config.members_most,
                forget_after: config.forget_after,
                seed,
            },
            Duration::ZERO,
        )?;
        let named = |what: &str, address: SocketAddr| {
            let what = what.to_owned();
            move |e: io::Error| format!("membership: {what} {address}: {e}")
        };
        let socket = UdpSocket::bind(config.listen)
            .await
            .map_err(named("peer_listen", config.listen))?;
        let page = match config.page {
            Some(address) => Some(
                TcpListener::bind(address)
                    .await
                    .map_err(named("page", address))?,
            ),
            None => None,
        };
        let shown = page.as_ref().map_or(Ok("none".into()), |page| {
            page.local_addr().map(|a| a.to_string())
        })?;
        tracing::info!(peers = %socket.local_addr()?, page = %shown, "joining");
        let others = (0u16..)
            .zip(&config.peers)
            .filter(|(place, _)| *place != config.place.0);
        let members = Rc::new(Self {
            machine: RefCell::new(machine),
            socket,
            places: others
                .map(|(place, address)| (*address, PeerIndex(place)))
                .collect(),
            peers: config.peers.clone(),
            fleet: config.fleet.clone(),
            start: Instant::now(),
            sooner: Notify::new(),
        });
        spawn_local(Rc::clone(&members).run());
        if let Some(page) = page {
            spawn_local(Rc::clone(&members).show(page));
        }
        Ok(members)
    }

    /// Tells the others that this balancer leaves.
    pub fn leave(&self) {
        self.machine.borrow_mut().leave(self.start.elapsed());
        self.carry_out();
        self.sooner.notify_one();
    }

    async fn run(self: Rc<Self>) {
        self.carry_out();
        loop {
            let due = self.machine.borrow().next_timeout();
            let Some(due) = due else {
                // It takes part no more, and only reads what would pile up.
                if self.socket.readable().await.is_ok() {
                    self.take_in();
                }
                continue;
            };
            tokio::select! {
                ready = self.socket.readable() => if let Err(e) = ready {
                    tracing::warn!("no datagrams: {e}");
                    return;
                },
                () = sleep_until(self.start + due) => {}
                () = self.sooner.notified() => {}
            }
            // Datagrams first: what was answered in time must not look late.
            self.take_in();
            let now = self.start.elapsed();
            let mut machine = self.machine.borrow_mut();
            if machine.next_timeout().is_some_and(|due| due <= now) {
                machine.handle_timeout(now);
            }
            drop(machine);
            self.carry_out();
        }
    }

    /// Takes in what has come, up to a bound.
    fn take_in(&self) {
        let mut buffer = [0; BUFFER];
        for _ in 0..AT_ONCE {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let (mut machine, now) = (self.machine.borrow_mut(), self.start.elapsed());
                    match self.places.get(&from) {
                        // Why one was dropped is counted there, and shown on the page.
                        Some(place) => {
                            let _ = machine.handle_datagram(now, *place, &buffer[..length]);
                        }
                        None => machine.record_unknown_sender(),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // What a peer that is not there said about a datagram before.
                Err(_) => {}
            }
        }
    }

    /// Sends what is to be sent, and writes down what has changed.
    fn carry_out(&self) {
        loop {
            let output = self.machine.borrow_mut().poll_output();
            match output {
                None => return,
                Some(Output::Send { to, datagram }) => {
                    if let Some(address) = self.peers.get(usize::from(to.0)) {
                        // Full: lost, as on the way. The protocol makes up for it.
                        let _ = self.socket.try_send_to(&datagram, *address);
                    }
                }
                Some(Output::ViewChanged(change)) => {
                    let MemberRecord {
                        id,
                        state,
                        reported_by,
                        ..
                    } = change.member;
                    let from =
                        reported_by.map_or_else(|| "itself".to_owned(), |name| name.to_string());
                    tracing::info!(
                        version = change.version,
                        name = %id.name,
                        place = id.peer.0,
                        incarnation = id.incarnation,
                        turn = id.rejoin_count,
                        standing = %state.as_str(),
                        from = %from,
                        "member"
                    );
                }
                Some(Output::Superseded(other)) => tracing::warn!(
                    incarnation = other.incarnation,
                    "an earlier start had a later incarnation, a still later one is taken: was the clock set back?"
                ),
                Some(Output::Yielded(other)) => tracing::error!(
                    name = %other.name,
                    place = other.peer.0,
                    incarnation = other.incarnation,
                    "yielded: a later process has this name, this one takes part no more; give one of them another"
                ),
            }
        }
    }

    /// Shows the view to whoever asks.
    async fn show(self: Rc<Self>, page: TcpListener) {
        let readers = Arc::new(Semaphore::new(READERS));
        loop {
            let Ok(reader) = Arc::clone(&readers).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = page.accept().await else {
                continue;
            };
            let members = Rc::clone(&self);
            spawn_local(async move {
                let service = service_fn(|request| {
                    let response = members.respond(&request);
                    async { Ok::<_, Infallible>(response) }
                });
                let mut builder = hyper::server::conn::http1::Builder::new();
                builder.timer(TokioTimer::new()).keep_alive(false);
                // A reader that goes away or says nothing is its own loss.
                let _ = timeout(
                    READER_TAKES,
                    builder.serve_connection(TokioIo::new(stream), service),
                )
                .await;
                drop(reader);
            });
        }
    }

    fn respond(&self, request: &Request<hyper::body::Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != "/members" {
            let mut none = Response::new(Full::new(Bytes::from_static(b"the page is /members\n")));
            *none.status_mut() = StatusCode::NOT_FOUND;
            return none;
        }
        let mut response = Response::new(Full::new(self.page().into()));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    fn page(&self) -> Vec<u8> {
        let (machine, now) = (self.machine.borrow(), self.start.elapsed());
        let me = machine.identity();
        let view = machine.view();
        let row =
            |viewed: &'_ MemberRecord| (*viewed, now.saturating_sub(viewed.since).as_secs_f64());
        let rows: Vec<(MemberRecord, f64)> = view.members().map(row).collect();
        let members = rows.iter().map(|(viewed, since_s)| Row {
            name: viewed.id.name.as_str(),
            place: viewed.id.peer.0,
            incarnation: viewed.id.incarnation,
            turn: viewed.id.rejoin_count,
            standing: viewed.state,
            since_s: *since_s,
            from: viewed.reported_by.as_ref().map(|name| name.as_str()),
        });
        let page = Page {
            fleet: &self.fleet,
            name: me.name.as_str(),
            phase: machine.phase(),
            slowness: machine.health_score(),
            version: view.version(),
            digest: format!("{:016x}", view.digest()),
            there: view.live_count(),
            members: members.collect(),
            counters: machine.counters(),
        };
        serde_json::to_vec(&page).unwrap_or_default()
    }
}
