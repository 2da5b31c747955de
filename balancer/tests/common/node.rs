//! The balancer's process and its clients.

use super::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};

/// Lines of a balancer's log that are kept for a test that fails.
const LOG_KEPT: usize = 60;

pub const HEALTH: &str = "GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n";

/// A configuration, to be changed before the start.
pub struct Setup {
    pub discovery: SocketAddr,
    pub known: String,
    pub sockets: usize,
    /// Balancers of the fleet.
    pub balancers: usize,
    /// Of the class `book`, which may not run twice, and of `look`, which may.
    pub deadline_ms: u64,
    pub asks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// How long an upstream that has started is cold.
    pub cold_ms: u64,
    /// What the preloaded shim is told to let fail; see the crate `frostkeel-syscall-faults`.
    pub faults: Vec<(&'static str, String)>,
}

impl Setup {
    /// These upstreams, by address.
    pub fn with(upstreams: &[SocketAddr]) -> Self {
        let entries = upstreams
            .iter()
            .enumerate()
            .map(|(k, a)| entry(&format!("s-{k}"), *a, "Ready"));
        Self {
            discovery: nobody(),
            known: list(1, true, &entries.collect::<Vec<_>>()),
            sockets: 256,
            balancers: 1,
            deadline_ms: 8000,
            asks: false,
            cancellation: true,
            cold_ms: 10_000,
            faults: Vec::new(),
        }
    }

    pub fn text(&self) -> String {
        let Self {
            discovery,
            known,
            sockets,
            balancers,
            deadline_ms,
            asks,
            cancellation,
            cold_ms,
            faults: _,
        } = self;
        let how = if *asks { "subscribe" } else { "automatic" };
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","aim_ms":{deadline_ms},"hard_limit_ms":{deadline_ms},"late_worth":0.5,"effect":"{effect}","dedup_scope":"all","key_ttl_ms":5000}}"#
            )
        };
        let classes = [
            class("look", "idempotent"),
            class("book", "at_most_once"),
            class("keyed", "deduplicated"),
        ];
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
            "settings":{{"balancers":{balancers},"me":0,"classes":[{}],"discovery":"{how}",
            "guarantees":{{"cold_ms":{cold_ms}}},"failure_domains":["a","b"],"skus":["m"],"locality":0,
            "limits":{{"conn_idle_ms":60000,"connect_timeout_ms":2000,"try_limit":5,"retry_after":false,
            "cancelling":{cancellation}}},
            "parties":[{{"name":"acme","allowance_per_s":1000.0}}]}}}}"#,
            classes.join(",")
        )
    }

    pub fn start(&self) -> Node {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!(
            "frostkeel-balancer-{}-{number}.json",
            std::process::id()
        ));
        std::fs::write(&path, self.text()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_frostkeel-balancer"));
        command
            .env("NODE_CONFIG", &path)
            .env("NODE_LOG", "info")
            .stderr(Stdio::piped());
        if !self.faults.is_empty() {
            command.env("LD_PRELOAD", shim());
            command.envs(self.faults.iter().map(|(name, value)| (name, value)));
        }
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("listen=") {
            line.clear();
            assert_ne!(log.read_line(&mut line).unwrap(), 0, "it has ended");
        }
        let address = line
            .split("listen=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next())
            .unwrap();
        let address = address.trim().parse().unwrap();
        // The log must go on being read, or it would fill.
        let last_lines = Arc::new(Mutex::new(VecDeque::new()));
        let kept = Arc::clone(&last_lines);
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let mut kept = kept.lock().unwrap();
                kept.push_back(line);
                if kept.len() > LOG_KEPT {
                    kept.pop_front();
                }
            }
        });
        Node {
            child,
            address,
            path,
            last_lines,
        }
    }
}

/// The shim that lets system calls fail, built beside the tests.
fn shim() -> PathBuf {
    let path = std::env::current_exe()
        .unwrap()
        .with_file_name("libfrostkeel_syscall_faults.so");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

/// A running balancer; killed when dropped.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    /// Its configuration file.
    path: PathBuf,
    /// The end of its log, shown where a test fails.
    last_lines: Arc<Mutex<VecDeque<String>>>,
}

impl Node {
    pub fn connect(&self) -> Client {
        Client {
            address: self.address,
            reader: open(self.address),
        }
    }

    /// A round trip: what reached the balancer before it has been seen by it.
    pub fn round_trip(&self) {
        for _ in 0..2 {
            assert_eq!(self.connect().exchange(HEALTH).status(), 200);
        }
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops the process; what happens meanwhile it finds all at once.
    pub fn stop(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until("it stands still", || {
            std::fs::read_to_string(&stat).unwrap().contains(") T ")
        });
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal("CONT");
    }

    /// Seconds of a core that it has used.
    pub fn cpu_s(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        // User and system time, in hundredths of a second.
        (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
    }

    /// The most memory that it has held, in megabytes.
    pub fn peak_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap();
        line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() / 1024.0
    }

    /// Descriptors that it holds now.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Lets it open no further descriptor.
    pub fn exhaust_descriptors(&self) {
        let open =
            |fd: &u64| std::path::Path::new(&format!("/proc/{}/fd/{fd}", self.child.id())).exists();
        self.limit_descriptors((0..).find(|fd| !open(fd)).unwrap());
    }

    /// Lets it open so many.
    pub fn limit_descriptors(&self, most: u64) {
        let pid = self.child.id().to_string();
        let limited = Command::new("prlimit")
            .args(["--pid", &pid, &format!("--nofile={most}:")])
            .status();
        assert!(limited.expect("prlimit, of util-linux").success());
    }

    /// Replaces the configuration file and says so.
    pub fn reload(&self, text: &str) {
        self.replace_configuration(text);
        self.signal("HUP");
    }

    /// Replaces the configuration file.
    pub fn replace_configuration(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
        assert!(sent.unwrap().success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        until("the balancer ends", || {
            ended = self.child.try_wait().unwrap();
            ended.is_some()
        });
        ended.unwrap()
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
        if std::thread::panicking() {
            let lines = self.last_lines.lock().unwrap();
            eprintln!(
                "the end of the balancer's log:\n{}",
                lines.iter().map(|l| format!("  {l}\n")).collect::<String>()
            );
        }
    }
}

fn open(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    BufReader::new(stream)
}

/// A client's connection.
pub struct Client {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes as much as the other side takes without being waited for.
    pub fn write_if_taken(&mut self, bytes: &[u8]) {
        let stream = self.reader.get_mut();
        stream.set_nonblocking(true).unwrap();
        let _ = stream.write_all(bytes);
        stream.set_nonblocking(false).unwrap();
    }

    /// A client's connection that takes little of an answer until it is read.
    pub fn narrow(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        socket.connect(&address.into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(LONG)).unwrap();
        Self {
            address,
            reader: BufReader::new(stream),
        }
    }

    /// Closes the connection now. A plain drop may come later: a process that another test is just starting holds
    /// copies of all descriptors until its program runs.
    pub fn leave(self) {
        self.reader.get_ref().shutdown(Shutdown::Both).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        SockRef::from(self.reader.get_ref())
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// Ends the sending; what comes can still be read.
    pub fn end_sending(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Whether something has come that is not read yet.
    pub fn has_bytes(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).unwrap();
        peeked.is_ok_and(|n| n > 0)
    }

    /// The answer; `None` if the connection ends instead.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// As clients do, it sends a request once more where the connection was closed between requests.
    pub fn exchange(&mut self, text: &str) -> Message {
        if self.reader.get_mut().write_all(text.as_bytes()).is_ok()
            && let Some(answer) = self.answer()
        {
            return answer;
        }
        self.reader = open(self.address);
        self.write(text);
        self.answer().expect("an answer")
    }

    /// Whether the other side has closed the connection, or does so within `LONG`.
    pub fn is_open_no_more(&mut self) -> bool {
        let waited = self.reader.read(&mut [0; 1]);
        !waited.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }

    /// Whether the connection ends with nothing more on it.
    pub fn ends(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

/// The calls that discovery gets.
pub type Calls = Receiver<(String, TcpStream)>;

/// A balancer whose first call for its list waits for an answer, the connections of further calls, and this one's.
pub fn calling(upstream: &Upstream) -> (Node, Receiver<TcpStream>, TcpStream) {
    let (address, calls) = raw_peer();
    let mut setup = Setup::with(&[upstream.address]);
    (setup.discovery, setup.asks) = (address, true);
    let node = setup.start();
    let call = calls.recv_timeout(LONG).expect("a call");
    assert!(next_request(&call).is_some());
    (node, calls, call)
}

/// A balancer that watches, with its upstream, and the watch.
pub fn watching(upstream: &Upstream) -> (Node, Calls, TcpStream) {
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[upstream.address]);
    (setup.discovery, setup.asks) = (discovery, true);
    let node = setup.start();
    let (_, watch) = calls.recv_timeout(LONG).expect("a watch");
    (node, calls, watch)
}
