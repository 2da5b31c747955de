//! The balancer as a process.

use super::{
    Client, Discovery, LIVENESS_REQUEST, READINESS_REQUEST, RawPeer, TestConfig, Upstream,
};
use super::{Watch, wait_until};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Lines of the log that are retained for a test that fails.
const RETAINED_LOG_LINES: usize = 60;
/// What the system counts processor time in.
const CLOCK_TICKS_PER_S: f64 = 100.0;

type LogLines = Arc<Mutex<VecDeque<String>>>;

/// A running balancer; killed when dropped.
pub struct BalancerProcess {
    child: Child,
    pub address: SocketAddr,
    config_path: PathBuf,
    /// The end of its log, shown where a test fails.
    log_lines: LogLines,
}

impl TestConfig {
    /// Starts a balancer and waits until it listens.
    pub fn start(&self) -> BalancerProcess {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("frostkeel-balancer-{}-{number}.json", std::process::id());
        let config_path = std::env::temp_dir().join(name);
        std::fs::write(&config_path, self.to_json()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_frostkeel-balancer"));
        command
            .env("NODE_CONFIG", &config_path)
            .env("NODE_LOG", "info")
            .stderr(Stdio::piped());
        if !self.syscall_faults.is_empty() {
            command.env("LD_PRELOAD", syscall_faults_library());
            let faults = self.syscall_faults.iter();
            command.envs(faults.map(|(name, value)| (name, value)));
        }
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let address = read_listen_address(&mut log);
        BalancerProcess {
            child,
            address,
            config_path,
            log_lines: retain_log_lines(log),
        }
    }
}

/// Reads the log up to the line that names the address at which the balancer listens.
fn read_listen_address(log: &mut impl BufRead) -> SocketAddr {
    let mut line = String::new();
    while !line.contains("listen=") {
        line.clear();
        assert_ne!(log.read_line(&mut line).unwrap(), 0, "it has ended");
    }
    let value = line.split("listen=").nth(1);
    let address = value.and_then(|rest| rest.split(' ').next()).unwrap();
    address.trim().parse().unwrap()
}

/// Goes on reading the log: otherwise its pipe would fill and block the balancer.
fn retain_log_lines(log: BufReader<ChildStderr>) -> LogLines {
    let log_lines = LogLines::default();
    let retained = Arc::clone(&log_lines);
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            let mut retained = retained.lock().unwrap();
            retained.push_back(line);
            if retained.len() > RETAINED_LOG_LINES {
                retained.pop_front();
            }
        }
    });
    log_lines
}

/// The preloaded library that lets system calls fail, built beside the tests.
fn syscall_faults_library() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let path = test.with_file_name("libfrostkeel_syscall_faults.so");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

impl BalancerProcess {
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// The status of the response to a request on a connection of its own.
    pub fn status_of(&self, request: &str) -> u16 {
        self.connect().exchange(request).status()
    }

    /// Sends a request again and again until its response has this status.
    pub fn wait_for_status(&self, request: &str, status: u16) {
        wait_until(&format!("the status is {status}"), || {
            self.status_of(request) == status
        });
    }

    /// Two health checks: the balancer has seen what reached it before.
    pub fn round_trip(&self) {
        for _ in 0..2 {
            assert_eq!(self.status_of(LIVENESS_REQUEST), 200);
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits until a balancer that has got SIGTERM has begun its shutdown.
    pub fn wait_until_draining(&self) {
        self.wait_for_status(READINESS_REQUEST, 503);
    }

    /// Suspends the process: it finds all that happens meanwhile at once.
    pub fn suspend(&self) {
        self.signal("STOP");
        let stat = self.proc_path("stat");
        wait_until("the process is stopped", || {
            std::fs::read_to_string(&stat).unwrap().contains(") T ")
        });
    }

    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Seconds of a core that it has used.
    pub fn cpu_s(&self) -> f64 {
        let stat = std::fs::read_to_string(self.proc_path("stat")).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        let [user, system] = [11, 12].map(|field| fields[field].parse::<f64>().unwrap());
        (user + system) / CLOCK_TICKS_PER_S
    }

    /// The most memory that it has used, in megabytes.
    pub fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(self.proc_path("status")).unwrap();
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kilobytes = peak.trim().trim_end_matches(" kB");
        kilobytes.parse::<f64>().unwrap() / 1024.0
    }

    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(self.proc_path("fd")).unwrap().count()
    }

    /// Prevents it from opening any further descriptor.
    pub fn exhaust_descriptors(&self) {
        let descriptors = self.proc_path("fd");
        let is_open = |fd: &u64| descriptors.join(fd.to_string()).exists();
        self.limit_descriptors((0..).find(|fd| !is_open(fd)).unwrap());
    }

    pub fn limit_descriptors(&self, max: u64) {
        let pid = self.child.id().to_string();
        let limit = format!("--nofile={max}:");
        let status = Command::new("prlimit")
            .args(["--pid", &pid, &limit])
            .status();
        assert!(status.expect("prlimit, of util-linux").success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        self.replace_configuration(text);
        self.signal("HUP");
    }

    pub fn replace_configuration(&self, text: &str) {
        std::fs::write(&self.config_path, text).unwrap();
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut exit_status = None;
        wait_until("the balancer exits", || {
            exit_status = self.child.try_wait().unwrap();
            exit_status.is_some()
        });
        exit_status.unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").arg("-c").arg(command).status();
        assert!(status.unwrap().success());
    }

    /// A file of the process under `/proc`.
    fn proc_path(&self, file: &str) -> PathBuf {
        Path::new("/proc")
            .join(self.child.id().to_string())
            .join(file)
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
        if std::thread::panicking() {
            let lines = self.log_lines.lock().unwrap();
            let indented: String = lines.iter().map(|line| format!("  {line}\n")).collect();
            eprintln!("the end of the balancer's log:\n{indented}");
        }
    }
}

/// A balancer whose first poll for its endpoints waits for a response.
pub struct PollingBalancer {
    pub process: BalancerProcess,
    pub discovery: RawPeer,
    /// The connection of the first poll.
    pub poll: TcpStream,
}

impl PollingBalancer {
    pub fn start(upstream: &Upstream) -> Self {
        let discovery = RawPeer::start();
        let mut config = TestConfig::with_upstreams(&[upstream.address]);
        config.discovery = discovery.address;
        config.polls_endpoints = true;
        let process = config.start();
        let poll = discovery.next_connection_with_request();
        Self {
            process,
            discovery,
            poll,
        }
    }
}

/// A balancer that has opened a watch.
pub struct WatchingBalancer {
    pub process: BalancerProcess,
    pub discovery: Discovery,
    pub watch: Watch,
}

impl WatchingBalancer {
    /// Starts a balancer that knows these upstreams.
    pub fn start(upstreams: &[SocketAddr]) -> Self {
        Self::start_with(TestConfig::with_upstreams(upstreams))
    }

    pub fn start_with(mut config: TestConfig) -> Self {
        let discovery = Discovery::start();
        config.discovery = discovery.address;
        config.polls_endpoints = true;
        let process = config.start();
        let watch = discovery.next_watch();
        Self {
            process,
            discovery,
            watch,
        }
    }
}
