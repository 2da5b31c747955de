//! The memory that request bodies use while they arrive in small pieces.
#![expect(clippy::expect_used, reason = "a failed step fails the test")]

mod support;

use std::io::{ErrorKind, Read, Write};
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

/// The length of a head that no client of the registry needs.
const LONG_HEAD_BYTES: usize = 300 * 1024;
/// The longest head that the registry reads.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Guards against heads that are limited only by the default of the HTTP library, so that clients
/// that send long heads and never complete them exhaust the memory of the registry.
#[test]
fn heads_over_the_limit_are_rejected_before_they_are_complete() {
    let folder = std::env::temp_dir().join(format!("frostkeel-heads-{}", std::process::id()));
    let service = TestService::start(&folder, "");
    for address in [service.read, service.write] {
        let mut stream = connect(address);
        let head = format!("GET /status HTTP/1.1\r\nx: {}", "y".repeat(LONG_HEAD_BYTES));
        // The service may close the connection before it has received all of it.
        let _ = stream.write_all(head.as_bytes());
        let mut response = [0; 64];
        let response = match stream.read(&mut response) {
            Ok(length) => String::from_utf8_lossy(&response[..length]).into_owned(),
            // The close of a connection with unread bytes may discard the response.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => continue,
            Err(error) => panic!("a head of over {MAX_HEAD_BYTES} bytes: {error}"),
        };
        assert!(
            response.starts_with("HTTP/1.1 431"),
            "a head of over {MAX_HEAD_BYTES} bytes gets {response:?}"
        );
    }
    drop(service);
    std::fs::remove_dir_all(&folder).expect("the folder of the service");
}
