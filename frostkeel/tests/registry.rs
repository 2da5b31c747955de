//! Tests the registry as a real process that is started from the command line, written to, read, killed and restarted.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

#[path = "common/command.rs"]
mod command;
#[path = "common/folder.rs"]
mod folder;

use command::{FROSTKEEL, run_frostkeel};
use folder::empty_folder;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running registry, which is killed when this is dropped.
struct Registry {
    child: Child,
    /// The address of the interface for reads and watches.
    read_address: String,
    /// The address of the interface for writes, status and metrics.
    write_address: String,
}

impl Drop for Registry {
    fn drop(&mut self) {
        // Sends SIGKILL, which acknowledged writes must survive.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config(folder: &Path, name: &str) -> PathBuf {
    let file = folder.join(format!("{name}.toml"));
    let data = folder.join("data");
    let text = format!(
        "fleet = \"tests\"\nname = {name:?}\nread = \"127.0.0.1:0\"\nwrite = \"127.0.0.1:0\"\nfolder = {data:?}\n"
    );
    std::fs::write(&file, text).expect("written");
    file
}

fn start(folder: &Path) -> Registry {
    let mut child = Command::new(FROSTKEEL)
        .args(["--log", "info", "registry", "--config"])
        .arg(config(folder, "r0"))
        .stderr(Stdio::piped())
        .spawn()
        .expect("frostkeel starts");
    let mut lines =
        BufReader::new(child.stderr.take().expect("the standard error is piped")).lines();
    let serving_line = lines
        .find_map(|line| line.ok().filter(|line| line.contains("serving")))
        .expect("a log line `serving`");
    std::thread::spawn(move || lines.for_each(drop));
    let field = |name: &str| {
        let value = serving_line
            .split(' ')
            .find_map(|word| word.strip_prefix(name));
        value
            .unwrap_or_else(|| panic!("{name} in {serving_line}"))
            .to_owned()
    };
    Registry {
        child,
        read_address: field("read="),
        write_address: field("write="),
    }
}

struct Response {
    status: u16,
    body: String,
}

fn call(address: &str, head: &str, body: &str) -> Response {
    let mut stream = TcpStream::connect(address).expect("the registry listens");
    let length = body.len();
    let fields = format!("host: r\r\nconnection: close\r\ncontent-length: {length}");
    write!(stream, "{head} HTTP/1.1\r\n{fields}\r\n\r\n{body}").expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("read");
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let (_, body) = text.split_once("\r\n\r\n").expect("a head");
    Response {
        status: status.expect("a status"),
        body: body.to_owned(),
    }
}

/// Returns the endpoint list, as the registry sends it to readers.
fn list(registry: &Registry) -> String {
    call(&registry.read_address, "GET /registry/instances", "").body
}

/// Registers u1 to u3, drains u2 and removes u3. Also checks the status of valid and of invalid requests.
fn write_endpoints(registry: &Registry) {
    for n in 1..=3 {
        let body = format!(
            r#"{{"endpoint":"10.0.0.{n}:80","boot_ms":{n},"ttl_s":60,"az":"a","model":"m"}}"#
        );
        let response = call(
            &registry.write_address,
            &format!("PUT /upstreams/u{n}"),
            &body,
        );
        assert_eq!(
            (response.status, response.body.trim()),
            (200, format!(r#"{{"rev":{n}}}"#).as_str())
        );
    }
    let too_long = "x".repeat(20_000);
    for (head, body, status) in [
        ("POST /upstreams/u1/renew", r#"{"boot_ms":1}"#, 200),
        ("POST /upstreams/u1/renew", r#"{"boot_ms":7}"#, 409),
        ("POST /upstreams/u9/renew", r#"{"boot_ms":7}"#, 404),
        ("PUT /upstreams/u1", "nonsense", 400),
        ("PUT /upstreams/u1", &too_long, 413),
    ] {
        assert_eq!(
            call(&registry.write_address, head, body).status,
            status,
            "{head} {body:.20}"
        );
    }
    let drained = run_frostkeel(&["drain", "u2", "--write", &registry.write_address]);
    assert!(drained.status.success());
    assert_eq!(
        call(&registry.write_address, "DELETE /upstreams/u3", "").status,
        200
    );
}

/// Starts a second registry with the same data folder, which must fail, and returns the error that it printed.
fn error_of_second_registry(folder: &Path, name: &str) -> String {
    let config = config(folder, name);
    let output = run_frostkeel(&["registry", "--config", config.to_str().expect("a path")]);
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Watches the list from revision 5, makes a change, and checks that the watch receives it.
fn assert_watch_resumes(registry: &Registry) {
    let mut watch = TcpStream::connect(&registry.read_address).expect("the registry listens");
    let request = "GET /registry/instances?stream=1&index=5 HTTP/1.1\r\nhost: r\r\n\r\n";
    watch.write_all(request.as_bytes()).expect("written");
    let weight = r#"{"capacity_hint":2.5}"#;
    assert_eq!(
        call(&registry.write_address, "PUT /upstreams/u1/weight", weight).status,
        200
    );
    let mut lines = BufReader::new(watch).lines().map_while(Result::ok);
    let change = lines.find(|line| line.contains("rev")).expect("a change");
    let is_of_u1 = change.starts_with(r#"{"rev":6,"all":false,"targets":[{"uid":"u1""#);
    assert!(is_of_u1 && change.contains("2.5"), "{change}");
}

#[test]
fn acknowledged_writes_survive_a_kill_and_watches_resume() {
    let folder = empty_folder("registry");
    let registry = start(&folder);
    write_endpoints(&registry);
    let expected = r#"{"rev":5,"all":true,"targets":[{"uid":"u1","endpoint":"10.0.0.1:80","az":"a","model":"m","pod_group":0,"state":"Ready","capacity_hint":1.0,"boot_ms":1},{"uid":"u2","endpoint":"10.0.0.2:80","az":"a","model":"m","pod_group":0,"state":"Terminating","capacity_hint":1.0,"boot_ms":2}]}"#;
    assert_eq!(list(&registry), expected);

    let error = error_of_second_registry(&folder, "r0");
    assert!(error.contains("in use by another process"), "{error}");
    drop(registry);
    let error = error_of_second_registry(&folder, "r1");
    assert!(error.contains("belongs to r0"), "{error}");

    let registry = start(&folder);
    assert_eq!(list(&registry), expected, "the list changed over a kill");
    let printed = run_frostkeel(&["list", "--read", &registry.read_address]);
    assert!(String::from_utf8_lossy(&printed.stdout).contains("Terminating"));
    assert_watch_resumes(&registry);
    let metrics = call(&registry.write_address, "GET /metrics", "").body;
    assert!(
        metrics.contains("frostkeel_registry_version 6"),
        "{metrics}"
    );
}

/// Checks that an agent registers its command, drains it on SIGTERM, and removes it from the list at its end.
#[test]
fn agent_keeps_its_command_on_the_endpoint_list() {
    let folder = empty_folder("agent");
    let registry = start(&folder);
    let list = || list(&registry);
    let wait_for = |text: &str| {
        let start = std::time::Instant::now();
        while !list().contains(text) {
            assert!(
                start.elapsed().as_secs() < 30,
                "timed out waiting for {text}: {}",
                list()
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    };
    let agent = |command: &[&str]| {
        Command::new(FROSTKEEL)
            .args([
                "agent",
                "--write",
                &registry.write_address,
                "--uid",
                "a1",
                "--endpoint",
                "10.0.0.1:80",
            ])
            .args(["--ttl-s", "1", "--drain-s", "1", "--"])
            .args(command)
            .spawn()
            .expect("frostkeel starts")
    };
    let mut running = agent(&["sleep", "60"]);
    wait_for("\"a1\"");
    wait_for("Ready");
    let id = running.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .expect("the program kill starts")
            .success()
    );
    wait_for("Terminating");
    assert!(
        !running.wait().expect("ended").success(),
        "the command was ended by a signal, so the agent must fail"
    );
    assert!(list().contains("\"targets\":[]"), "{}", list());
    let mut short = agent(&["sh", "-c", "exit 7"]);
    assert_eq!(short.wait().expect("ended").code(), Some(7));
}

/// Checks that clients that open a connection and send nothing, or never complete their request, are disconnected and
/// do not block other clients.
#[test]
fn idle_and_incomplete_clients_are_disconnected() {
    let folder = empty_folder("silent");
    let registry = start(&folder);
    let mut idle: Vec<TcpStream> = [&registry.read_address, &registry.write_address]
        .map(|address| TcpStream::connect(address).expect("the registry listens"))
        .into();
    let mut incomplete = TcpStream::connect(&registry.write_address).expect("the registry listens");
    write!(
        incomplete,
        "PUT /upstreams/u1 HTTP/1.1\r\nhost: r\r\ncontent-length: 100\r\n\r\n{{"
    )
    .expect("written");
    let body = r#"{"endpoint":"10.0.0.1:80","boot_ms":1,"ttl_s":60}"#;
    assert_eq!(
        call(&registry.write_address, "PUT /upstreams/u2", body).status,
        200,
        "other clients are still served"
    );
    for stream in &mut idle {
        let mut response = Vec::new();
        stream.read_to_end(&mut response).expect("closed");
        let is_rejection = response.is_empty() || response.starts_with(b"HTTP/1.1 4");
        assert!(is_rejection, "{}", String::from_utf8_lossy(&response));
    }
    let mut response = [0; 12];
    incomplete.read_exact(&mut response).expect("a response");
    assert_eq!(&response, b"HTTP/1.1 408");
    assert!(list(&registry).contains("\"u2\""));
}
