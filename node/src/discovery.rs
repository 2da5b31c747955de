//! Discovery: the watch on the list of upstreams. It is the only call there is: a watch from version 0 begins with the
//! whole list.

use crate::connection::Connection;
use crate::list::{ListReader, ListUpdate, ReadList, WatchLine, WatchLines};
use crate::rate_limited::RateLimitedWarning;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use lapisroute::FleetScope;
use lapisroute_settings::Names;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// A watch has a line to say every 2 s. Without one for this long it is dead, whatever its connection looks like; the
/// rest of the 6 s after which what it missed counts as told is for opening another.
pub const SILENCE_MOST: Duration = Duration::from_millis(3000);
/// How long a call may take to be answered: discovery serves one after another, and fails those that wait too long.
const CALL_TIMEOUT: Duration = Duration::from_millis(3500);
/// How long a connection to discovery may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Where discovery is, and how far this balancer has followed it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    reader: ListReader,
    /// The version of the list in hand; 0: none.
    rev: Cell<u64>,
    watch: RefCell<Option<AbortHandle>>,
    /// Number of the watch in force.
    watches: Cell<u64>,
    warnings: RateLimitedWarning,
}

type Failure = Box<dyn Error + Send + Sync>;

impl Discovery {
    /// Discovery at an address; `names` turn zones and kinds into numbers.
    pub fn new(address: SocketAddr, names: Names) -> Self {
        Self {
            address: Cell::new(address),
            reader: ListReader::new(names),
            rev: Cell::new(0),
            watch: RefCell::default(),
            watches: Cell::new(0),
            warnings: RateLimitedWarning::default(),
        }
    }

    /// Reads a list and takes its version for the one in hand.
    fn take(&self, text: &[u8]) -> Result<ReadList, Failure> {
        let list = self.reader.read(text)?;
        if let Some(why) = &list.unreadable {
            self.warnings.warn(|| format!("unreadable list entry: {why}"));
        }
        if !list.all && list.rev < self.rev.get() {
            return Err(format!("changes of version {}, older than {}", list.rev, self.rev.get()).into());
        }
        if !list.all && list.nameless > 0 {
            return Err("a change of an upstream that is not named".into());
        }
        self.rev.set(list.rev);
        tracing::info!(rev = list.rev, whole = list.all, entries = list.entries.len(), "list taken in");
        Ok(list)
    }

    /// The list from the configuration, as [`FleetScope::Cached`].
    pub fn known(&self, text: &str) -> ListUpdate {
        let mut update = ListUpdate { scope: FleetScope::Cached, entries: Vec::new() };
        if !text.is_empty() {
            match self.take(text.as_bytes()) {
                Ok(list) => update.entries = list.entries,
                Err(e) => tracing::warn!("the list known before the start is unreadable: {e}"),
            }
        }
        update
    }

    /// It is asked at another address from now on; whether it has been watched and so must be watched there.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address && self.watch.borrow().is_some()
    }

    /// The number of a watch that begins now, in place of the one before.
    pub fn begin_watch(&self) -> u64 {
        self.watches.set(self.watches.get() + 1);
        self.watches.get()
    }

    /// Remembers the task that watches, and ends the one before.
    pub fn watched_by(&self, task: AbortHandle) {
        if let Some(before) = self.watch.borrow_mut().replace(task) {
            before.abort();
        }
    }

    /// Watches the list until the watch ends, and tells what comes; the last word is that it has failed. A watch that
    /// another has taken the place of says nothing more, though its task may still run.
    pub async fn watch(&self, number: u64, mut tell: impl FnMut(ListUpdate)) {
        let ended = self.follow(number, &mut tell).await;
        if self.watches.get() != number {
            tracing::info!(watch = number, "watch replaced");
            return;
        }
        match ended {
            Ok(()) => tracing::info!(watch = number, "watch ended by discovery"),
            Err(e) => {
                tracing::info!(watch = number, "watch failed: {e}");
                self.warnings.warn(|| format!("watch ended: {e}"));
            }
        }
        tell(ListUpdate::failed());
    }

    async fn follow(&self, number: u64, tell: &mut impl FnMut(ListUpdate)) -> Result<(), Failure> {
        let target = format!("/registry/instances?stream=1&index={}", self.rev.get());
        tracing::info!(watch = number, address = %self.address.get(), rev = self.rev.get(), "list call begins");
        let (_connection, mut body) = timeout(CALL_TIMEOUT, self.ask(&target)).await??;
        tracing::info!(watch = number, "list call answered");
        let (mut lines, mut last_line, mut answered) = (WatchLines::default(), Instant::now(), false);
        while let Some(frame) = timeout_at(last_line + SILENCE_MOST, body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            lines.push(&data);
            tracing::debug!(watch = number, bytes = data.len(), rev = self.rev.get(), "discovery sent");
            while self.watches.get() == number
                && let Some(line) = self.next_line(&mut lines)?
            {
                last_line = Instant::now();
                // A heartbeat in place of a first list says that nothing has changed.
                let first = (!answered).then(ListUpdate::unchanged);
                answered = true;
                if let Some(update) = line.or(first) {
                    tell(update);
                }
            }
        }
        Ok(())
    }

    /// The next line of a watch, with what it tells of the list. One that can't be read may have told of a drain, so
    /// the whole list is asked for then.
    fn next_line(&self, lines: &mut WatchLines) -> Result<Option<Option<ListUpdate>>, Failure> {
        let read = lines.next_line().map_err(Failure::from).and_then(|line| match line {
            None => Ok(None),
            Some(WatchLine::Heartbeat) => Ok(Some(None)),
            Some(WatchLine::List(text)) => self.take(&text).map(|list| {
                let scope = if list.all { FleetScope::Full } else { FleetScope::Changes };
                Some(Some(ListUpdate { scope, entries: list.entries }))
            }),
        });
        read.inspect_err(|_| self.rev.set(0))
    }

    async fn ask(&self, target: &str) -> Result<(Connection, Incoming), Failure> {
        let address = self.address.get();
        let mut connection = timeout(CONNECT_TIMEOUT, Connection::open(address, ())).await??;
        let request = Request::get(target).header(HOST, address.to_string());
        let response = connection.send(request.body(Full::<Bytes>::default())?).await?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()).into());
        }
        Ok((connection, response.into_body()))
    }
}
