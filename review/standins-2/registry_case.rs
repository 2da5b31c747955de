//! What the cases of the list service share: a registry, agents with their nodes, a path to the registry that can be cut,
//! a balancer that watches the registry, and clients.

#![allow(dead_code)]

use crate::common::*;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The project's registry, started as `docs/registry.md` says.
pub struct Registry {
    pub program: Program,
    pub read: SocketAddr,
    pub write: SocketAddr,
}

impl Registry {
    /// Starts a registry; `limits` are further lines of its file.
    pub fn start(case: &Case, limits: &str) -> io::Result<Self> {
        let (read, write) = (free_address()?, free_address()?);
        let file = case.temporary.join("registry.toml");
        let folder = case.temporary.join("list");
        let text = format!(
            "fleet = \"seoul-main\"\nname = \"r0\"\nread = \"{read}\"\nwrite = \"{write}\"\nfolder = \"{}\"\n{limits}",
            folder.display()
        );
        fs::write(&file, text)?;
        let command = format!(
            "exec target/release/frostkeel registry --config {}",
            file.display()
        );
        let log = case.temporary.join("registry.log");
        let program = Program::start(case, &command, &[], &log)?;
        let registry = Self {
            program,
            read,
            write,
        };
        for _ in 0..100 {
            if registry.list().is_ok() {
                case.record.line("registry serves");
                return Ok(registry);
            }
            sleep_s(0.1);
        }
        Err(io::Error::other(fs::read_to_string(&log)?))
    }

    /// Returns the whole list as readers see it.
    pub fn list(&self) -> io::Result<String> {
        let answer = call(self.read, "GET", "/registry/instances", "", SECOND * 3)?;
        String::from_utf8(answer.body).map_err(io::Error::other)
    }

    /// Returns the entry of one upstream as text; `None` if it is not on the list.
    pub fn entry(&self, uid: &str) -> io::Result<Option<String>> {
        let list = self.list()?;
        let wanted = format!("\"uid\":\"{uid}\"");
        let entry = list.split('{').find(|part| part.contains(&wanted));
        Ok(entry.map(|part| part.trim_end_matches([',', ']', '}']).to_owned()))
    }

    pub fn wait_for(&self, uid: &str, text: &str, seconds: f64) -> io::Result<bool> {
        for _ in 0..(seconds / 0.05) as u32 {
            if self.entry(uid)?.is_some_and(|entry| entry.contains(text)) {
                return Ok(true);
            }
            sleep_s(0.05);
        }
        Ok(false)
    }
}

/// A path to an address that can be cut: bytes then wait, in both directions, until it is joined again.
pub struct Path {
    pub address: SocketAddr,
    is_cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Path {
    pub fn to(target: SocketAddr) -> io::Result<Self> {
        let (listener, address) = listen()?;
        let is_cut = Arc::new((Mutex::new(false), Condvar::new()));
        let shared = Arc::clone(&is_cut);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    wait_until_joined(&shared);
                    let Ok(server) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = carry(client, server, &shared);
                });
            }
        });
        Ok(Self { address, is_cut })
    }

    pub fn cut(&self, cut: bool) {
        *lock(&self.is_cut.0) = cut;
        self.is_cut.1.notify_all();
    }
}

fn wait_until_joined(is_cut: &(Mutex<bool>, Condvar)) {
    let mut cut = lock(&is_cut.0);
    while *cut {
        cut = is_cut
            .1
            .wait(cut)
            .unwrap_or_else(|poisoned| poisoned.into_inner());
    }
}

fn carry(
    client: TcpStream,
    server: TcpStream,
    is_cut: &Arc<(Mutex<bool>, Condvar)>,
) -> io::Result<()> {
    let (from_client, to_client) = (client.try_clone()?, client);
    let (from_server, to_server) = (server.try_clone()?, server);
    let shared = Arc::clone(is_cut);
    thread::spawn(move || copy(from_server, to_client, &shared));
    copy(from_client, to_server, is_cut);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &(Mutex<bool>, Condvar)) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        wait_until_joined(is_cut);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// An agent with its node.
pub struct Agent {
    pub program: Program,
    pub address: SocketAddr,
}

impl Agent {
    pub fn start(
        case: &Case,
        uid: &str,
        write: SocketAddr,
        ttl_s: u32,
        drain_s: u32,
    ) -> io::Result<Self> {
        let address = free_address()?;
        let command = format!(
            "exec target/release/frostkeel agent --write {write} --uid {uid} --endpoint {address} --az guro-dc --model std-2c \
             --ttl-s {ttl_s} --drain-s {drain_s} -- target/review-2/node {address} {uid} {}",
            arrivals_file(case).display()
        );
        let log = case
            .temporary
            .join(format!("agent-{uid}-{}.log", address.port()));
        let program = Program::start(case, &command, &[], &log)?;
        case.record
            .line(&format!("agent of {uid} starts, node at {address}"));
        Ok(Self { program, address })
    }
}

impl Drop for Agent {
    /// Ends the agent and its node: the node is a child of the agent and ends with it at SIGTERM.
    fn drop(&mut self) {
        let _ = self.program.signal("CONT");
        let _ = self.program.signal("TERM");
        for _ in 0..100 {
            if self.program.ended().is_some() {
                return;
            }
            sleep_s(0.1);
        }
    }
}

fn arrivals_file(case: &Case) -> PathBuf {
    case.temporary.join("arrivals")
}

/// Returns the requests that have arrived: Unix time in milliseconds, uid, class, id.
pub fn arrivals(case: &Case) -> Vec<(u64, String, String, String)> {
    let text = fs::read_to_string(arrivals_file(case)).unwrap_or_default();
    let parse = |line: &str| {
        let mut words = line.split(' ').map(str::to_owned);
        Some((
            words.next()?.parse().ok()?,
            words.next()?,
            words.next()?,
            words.next()?,
        ))
    };
    text.lines().filter_map(parse).collect()
}

/// A balancer that watches the registry, and clients.
pub struct Service {
    pub program: Program,
    pub answers: Arc<Answers>,
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Service {
    pub fn start(case: &Case, registry: &Registry) -> io::Result<Self> {
        let deployment = Deployment {
            listen: free_address()?,
            discovery: registry.read,
            memory_mb: 48,
            sockets: 384,
            known: registry.list()?,
            settings: settings_json(&TENANTS),
        };
        let program = deployment.start(case)?;
        let (answers, stop) = (
            Arc::new(Answers::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let clients = start_clients(deployment.listen, 5, 0.2, &case.record, &answers, &stop);
        Ok(Self {
            program,
            answers,
            stop,
            clients,
        })
    }

    pub fn end(&mut self, case: &Case) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        self.program.kill();
        for (at, uid, class, id) in arrivals(case) {
            case.record
                .line(&format!("arrived at Unix ms {at}: {class} {id} at {uid}"));
        }
        case.record
            .line(&format!("clients: {}", self.answers.text()));
    }
}
