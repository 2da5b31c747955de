//! The balancer's part in the membership, a protocol by which the balancers of a fleet learn which of them are alive.
//! It connects the state machine in `frostkeel-membership` to a datagram socket, the clock, the log and a status page.
//!
//! It does not affect decisions, and runs only if it is configured. The crate `lab` parses its log entries, which must
//! keep their form.

mod page;

use crate::config::MembershipConfig;
use crate::task_group::TaskGroup;
use frostkeel_membership::{
    Config, ConfigError, Identity, MemberRecord, Membership, Output, PeerIndex, ViewChange,
};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The size of the receive buffer. It exceeds any valid datagram, so that a datagram that fills it is known to be too
/// long.
const BUFFER_BYTES: usize = 512;
/// The maximum number of datagrams that are read before timers are checked again.
const MAX_DATAGRAMS_AT_ONCE: usize = 256;

/// The reason why the participation in the membership cannot start.
#[derive(Debug, thiserror::Error)]
pub enum MembersError {
    /// The state machine rejects the configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The datagram socket cannot be bound.
    #[error("membership: cannot bind peer_listen {address}: {source}")]
    BindPeers {
        /// The configured address for datagrams.
        address: SocketAddr,
        /// The error of binding the datagram socket.
        source: io::Error,
    },
    /// The listener of the status page cannot be bound.
    #[error("membership: cannot bind page {address}: {source}")]
    BindPage {
        /// The configured address of the status page.
        address: SocketAddr,
        /// The error of binding the listener.
        source: io::Error,
    },
    /// The local address of the datagram socket or of the status page is unavailable.
    #[error(transparent)]
    LocalAddress(#[from] io::Error),
}

/// This balancer's participation in the membership. Dropping it aborts its tasks.
pub struct Members {
    driver: Rc<Driver>,
    _tasks: TaskGroup,
}

/// The driver of the state machine: it passes datagrams and timeouts to the machine, and performs the machine's
/// outputs.
struct Driver {
    machine: RefCell<Membership>,
    socket: UdpSocket,
    /// The address of each peer, by peer index.
    peers: Vec<SocketAddr>,
    /// The peer index of each other balancer, by address.
    peer_by_address: FxHashMap<SocketAddr, PeerIndex>,
    /// The name of the fleet, for the status page.
    fleet: String,
    /// The zero of the times that are passed to the state machine.
    start: Instant,
    /// Notified when the machine's next timeout may have become earlier.
    due_changed: Notify,
}

impl Members {
    /// Joins the membership. The balancer participates until the returned value is dropped.
    pub async fn start(config: &MembershipConfig, seed: u64) -> Result<Self, MembersError> {
        let machine = Membership::new(machine_config(config, seed), Duration::ZERO)?;
        let address = config.listen;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| MembersError::BindPeers { address, source })?;
        let page = match config.page {
            Some(address) => {
                let page = TcpListener::bind(address).await;
                Some(page.map_err(|source| MembersError::BindPage { address, source })?)
            }
            None => None,
        };
        let page_address = page.as_ref().map(TcpListener::local_addr).transpose()?;
        let page_address =
            page_address.map_or_else(|| "none".to_owned(), |address| address.to_string());
        tracing::info!(peers = %socket.local_addr()?, page = %page_address, "joining");
        let others = (0u16..)
            .zip(&config.peers)
            .filter(|(peer, _)| *peer != config.peer.0);
        let driver = Rc::new(Driver {
            machine: RefCell::new(machine),
            socket,
            peer_by_address: others
                .map(|(peer, address)| (*address, PeerIndex(peer)))
                .collect(),
            peers: config.peers.clone(),
            fleet: config.fleet.clone(),
            start: Instant::now(),
            due_changed: Notify::new(),
        });
        let tasks = TaskGroup::default();
        tasks.spawn(Rc::clone(&driver).run());
        if let Some(page) = page {
            tasks.spawn(page::serve(Rc::clone(&driver), page));
        }
        Ok(Self {
            driver,
            _tasks: tasks,
        })
    }

    /// Announces to the peers that this balancer leaves the membership.
    pub fn leave(&self) {
        let driver = &self.driver;
        driver.machine.borrow_mut().leave(driver.start.elapsed());
        driver.perform_outputs();
        driver.due_changed.notify_one();
    }
}

/// Returns the configuration of the state machine. The incarnation is the current Unix time in milliseconds, so that a
/// restarted process has a higher one.
fn machine_config(config: &MembershipConfig, seed: u64) -> Config {
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    Config {
        fleet: config.fleet.clone(),
        name: config.name,
        peer: config.peer,
        peer_count: config.peers.len() as u16,
        incarnation,
        max_members: config.max_members,
        down_member_retention: config.forget_after,
        seed,
    }
}

impl Driver {
    /// Drives the state machine until the task is aborted or the datagram socket fails.
    async fn run(self: Rc<Self>) {
        self.perform_outputs();
        loop {
            let due = self.machine.borrow().next_timeout();
            let Some(due) = due else {
                // The machine is inactive. Datagrams are still read, so that they do not fill the socket's buffer.
                if self.socket.readable().await.is_ok() {
                    self.read_datagrams();
                }
                continue;
            };
            tokio::select! {
                ready = self.socket.readable() => if let Err(error) = ready {
                    tracing::warn!(%error, "membership socket failed");
                    return;
                },
                () = sleep_until(self.start + due) => {}
                () = self.due_changed.notified() => {}
            }
            // Datagrams are read before timers run, so that a response received in time is not treated as late.
            self.read_datagrams();
            self.run_timers();
            self.perform_outputs();
        }
    }

    /// Reads the received datagrams, at most [`MAX_DATAGRAMS_AT_ONCE`].
    fn read_datagrams(&self) {
        let mut buffer = [0; BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_AT_ONCE {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => self.on_datagram(from, &buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The error is an ICMP error for an earlier datagram to an unreachable peer.
                Err(_) => {}
            }
        }
    }

    fn on_datagram(&self, from: SocketAddr, datagram: &[u8]) {
        let (mut machine, now) = (self.machine.borrow_mut(), self.start.elapsed());
        match self.peer_by_address.get(&from) {
            // The error is ignored: the machine counts dropped datagrams by reason, and the status page shows the
            // counters.
            Some(peer) => {
                let _ = machine.handle_datagram(now, *peer, datagram);
            }
            None => machine.record_unknown_sender(),
        }
    }

    /// Handles the machine's next timeout if it is due.
    fn run_timers(&self) {
        let (mut machine, now) = (self.machine.borrow_mut(), self.start.elapsed());
        if machine.next_timeout().is_some_and(|due| due <= now) {
            machine.handle_timeout(now);
        }
    }

    /// Sends the machine's outgoing datagrams, and logs changes of the view.
    fn perform_outputs(&self) {
        loop {
            let output = self.machine.borrow_mut().poll_output();
            match output {
                None => return,
                Some(Output::Send { to, datagram }) => {
                    if let Some(address) = self.peers.get(usize::from(to.0)) {
                        // If the send buffer is full the datagram is lost. The protocol tolerates lost datagrams.
                        let _ = self.socket.try_send_to(&datagram, *address);
                    }
                }
                Some(Output::ViewChanged(change)) => log_change(&change),
                Some(Output::SupersededClaimant(other)) => log_superseded(&other),
                Some(Output::YieldedTo(other)) => log_yielded(&other),
            }
        }
    }
}

fn log_change(change: &ViewChange) {
    let MemberRecord {
        id,
        state,
        reported_by,
        ..
    } = change.member;
    let from = reported_by.map_or_else(|| "itself".to_owned(), |name| name.to_string());
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

/// Logs that an earlier process of this balancer had a higher incarnation, and that this process now uses one above it.
fn log_superseded(other: &Identity) {
    tracing::warn!(
        incarnation = other.incarnation,
        hint = "the system clock may have been set back",
        "incarnation superseded"
    );
}

/// Logs that a later process has this balancer's name, and that this process therefore no longer participates.
fn log_yielded(other: &Identity) {
    tracing::error!(
        name = %other.name,
        place = other.peer.0,
        incarnation = other.incarnation,
        hint = "give one of the two processes another name",
        "yielded"
    );
}
