//! The memory that bodies of requests and responses use while they arrive. It must depend on the
//! length of a body, not on the number of pieces in which the body arrives.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    BalancerProcess, CHUNKED_HEAD, Client, RawPeer, TestConfig, Upstream, at_most_once_request,
    read_request,
};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// The memory limit of the platform's smallest balancers, in megabytes.
const MEMORY_LIMIT_MB: f64 = 32.0;
/// The number of bodies that arrive at the same time.
const BODY_COUNT: usize = 32;
const PIECE_COUNT: usize = 500;
const PIECE_BYTES: usize = 16;
const BODY_BYTES: usize = PIECE_COUNT * PIECE_BYTES;
/// The time between two pieces of a body.
const PIECE_INTERVAL: Duration = Duration::from_millis(1);
/// The time for which all bodies are almost complete.
const HOLD_TIME: Duration = Duration::from_millis(300);
const UPSTREAM_COUNT: usize = 8;

/// Writes all pieces of a body but the last byte.
fn write_pieces(mut write: impl FnMut(&[u8])) {
    for number in 1..=PIECE_COUNT {
        let length = PIECE_BYTES - usize::from(number == PIECE_COUNT);
        write(&[b'x'; PIECE_BYTES][..length]);
        std::thread::sleep(PIECE_INTERVAL);
    }
    std::thread::sleep(HOLD_TIME);
}

/// Sends a request and its body in pieces. Returns the status of the response.
fn send_in_pieces(client: &mut Client) -> Option<u16> {
    let request = at_most_once_request(8000, &"x".repeat(BODY_BYTES));
    client.write(&request[..request.len() - BODY_BYTES]);
    write_pieces(|piece| client.write(std::str::from_utf8(piece).unwrap()));
    client.write("x");
    client.read_response().map(|response| response.status())
}

/// Reads a request and responds with a body in pieces, each of them one chunk.
fn respond_in_pieces(stream: &mut TcpStream) {
    if read_request(stream).is_none() {
        return;
    }
    stream.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
    write_pieces(|piece| {
        let text = std::str::from_utf8(piece).unwrap();
        let chunk = format!("{:x}\r\n{text}\r\n", piece.len());
        stream.write_all(chunk.as_bytes()).unwrap();
    });
    stream.write_all(b"1\r\nx\r\n0\r\n\r\n").unwrap();
}

/// Runs `exchange` for [`BODY_COUNT`] clients at the same time, and returns the statuses.
fn run_clients(
    process: &BalancerProcess,
    exchange: impl Fn(&mut Client) -> Option<u16> + Sync,
) -> Vec<Option<u16>> {
    std::thread::scope(|scope| {
        let run = || exchange(&mut process.connect());
        let clients: Vec<_> = (0..BODY_COUNT).map(|_| scope.spawn(run)).collect();
        let statuses = clients.into_iter().map(|client| client.join().unwrap());
        statuses.collect()
    })
}

fn assert_memory_within_limit(process: &mut BalancerProcess) {
    assert!(process.is_running());
    let peak_mb = process.peak_memory_mb();
    println!("peak memory: {peak_mb} MB");
    assert!(peak_mb < MEMORY_LIMIT_MB, "{peak_mb} MB");
}

/// Guards against request bodies that keep the read buffer of each of their pieces, so that slow
/// clients take the balancer over its memory limit.
#[test]
fn request_bodies_in_small_pieces_stay_within_the_memory_limit() {
    let upstream = Upstream::healthy();
    let mut process = TestConfig::with_upstreams(&[upstream.address]).start();
    let statuses = run_clients(&process, send_in_pieces);
    assert_eq!(statuses, [Some(200); BODY_COUNT]);
    let requests = upstream.requests();
    let is_unchanged = |body: &[u8]| *body == [b'x'; BODY_BYTES];
    assert!(requests.iter().all(|request| is_unchanged(&request.body)));
    assert_memory_within_limit(&mut process);
}

/// Guards against response bodies that keep the read buffer of each of their pieces, so that slow
/// upstreams take the balancer over its memory limit.
#[test]
fn response_bodies_in_small_pieces_stay_within_the_memory_limit() {
    let upstreams: Vec<RawPeer> = (0..UPSTREAM_COUNT).map(|_| RawPeer::start()).collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let mut process = TestConfig::with_upstreams(&addresses).start();
    for upstream in upstreams {
        std::thread::spawn(move || {
            for mut stream in upstream.connections {
                std::thread::spawn(move || respond_in_pieces(&mut stream));
            }
        });
    }
    let statuses = run_clients(&process, |client| {
        client.write(&at_most_once_request(8000, "body"));
        let response = client.read_response()?;
        let is_unchanged = response.body == [b'x'; BODY_BYTES];
        is_unchanged.then(|| response.status())
    });
    assert_eq!(statuses, [Some(200); BODY_COUNT]);
    assert_memory_within_limit(&mut process);
}
