//! The memory that request bodies use while they arrive in small pieces.
#![expect(clippy::expect_used, reason = "a failed step fails the test")]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{TestService, connect};

const BODY_COUNT: usize = 32;
const PIECE_COUNT: usize = 500;
const PIECE: &[u8] = b"                ";
/// The time between two pieces of a body.
const PIECE_INTERVAL: Duration = Duration::from_millis(1);
/// The memory that one connection may use: twice the longest body, and the buffers for the socket.
const MAX_CONNECTION_KB: u64 = 128;

/// Returns the anonymous memory of this process in kilobytes.
fn anonymous_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.expect("RssAnon").trim().trim_end_matches(" kB");
    kilobytes.parse().expect("a number")
}

fn write_to_all(streams: &mut [TcpStream], bytes: &[u8]) {
    for stream in streams {
        stream.write_all(bytes).expect("sent");
    }
}

/// Guards against request bodies that keep the read buffer of each of their pieces, so that slow
/// clients exhaust the memory of the registry.
#[test]
fn request_bodies_in_small_pieces_use_memory_in_proportion_to_their_length() {
    let folder = std::env::temp_dir().join(format!("frostkeel-pieces-{}", std::process::id()));
    let service = TestService::start(&folder, "");
    let mut streams: Vec<TcpStream> = (0..BODY_COUNT).map(|_| connect(service.write)).collect();
    for stream in &streams {
        stream.set_nodelay(true).expect("a socket option");
    }
    let length = PIECE_COUNT * PIECE.len() + 1;
    let head = format!(
        "PUT /upstreams/u1 HTTP/1.1\r\nhost: registry\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    write_to_all(&mut streams, head.as_bytes());
    let before_kb = anonymous_memory_kb();
    for _ in 0..PIECE_COUNT {
        write_to_all(&mut streams, PIECE);
        std::thread::sleep(PIECE_INTERVAL);
    }
    let used_kb = anonymous_memory_kb().saturating_sub(before_kb);
    println!("{used_kb} kB");
    write_to_all(&mut streams, b"{");
    for stream in &mut streams {
        let mut response = Vec::new();
        stream.read_to_end(&mut response).expect("a response");
        assert!(response.starts_with(b"HTTP/1.1 400 "), "{response:?}");
    }
    drop(service);
    std::fs::remove_dir_all(&folder).expect("the folder of the service");
    assert!(
        used_kb < BODY_COUNT as u64 * MAX_CONNECTION_KB,
        "{used_kb} kB"
    );
}
