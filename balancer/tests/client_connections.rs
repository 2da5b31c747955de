//! The limit on client connections, and clients that occupy a connection without a complete
//! request.

mod common;

use common::{Client, TestConfig, Upstream, at_most_once_request, idempotent_request};

/// Returns a configuration with a low limit on client connections: 22.
fn small_config(upstream: &Upstream) -> TestConfig {
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.max_sockets = 64;
    config
}

/// Idle clients must not prevent others from connecting. At the limit, the connection that has been
/// idle for the longest time is closed.
#[test]
fn closes_the_longest_idle_client_at_the_connection_limit() {
    let upstream = Upstream::healthy();
    let mut process = small_config(&upstream).start();
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = process.connect();
        assert_eq!(client.exchange(&idempotent_request(5000)).status(), 200);
        clients.push(client);
    }
    assert!(
        clients[0].is_closed_without_data(),
        "the connection that was idle for the longest time must be closed without data"
    );
    assert!(process.is_running());
}

/// Clients that send part of a request head and never complete it must not prevent others from
/// being served.
#[test]
fn clients_with_unfinished_heads_do_not_block_others() {
    let upstream = Upstream::healthy();
    let process = small_config(&upstream).start();
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = process.connect();
        client.write("POST /book HTTP/1.1\r\nHost: a");
        clients.push(client);
    }
    assert_eq!(process.status_of(&idempotent_request(8000)), 200);
}

/// A client that sends no request, or only part of one, must soon get an error or be disconnected,
/// regardless of the `X-Time-Left-Ms` of its request.
#[test]
fn closes_clients_that_never_complete_a_request() {
    let upstream = Upstream::healthy();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let half_body = at_most_once_request(60_000, "half");
    let half_body = half_body.replace("Content-Length: 4", "Content-Length: 9");
    let texts = [
        "",
        "POST /book/day HT",
        "POST /book/day HTTP/1.1\r\nHost: app.svc\r\n",
        &half_body,
    ];
    let connect_and_write = |text: &str| {
        let mut client = process.connect();
        client.write(text);
        client
    };
    let mut clients: Vec<Client> = texts.into_iter().map(connect_and_write).collect();
    for (k, client) in clients.iter_mut().enumerate() {
        // Reading times out after `TIMEOUT`, a third of the last client's `X-Time-Left-Ms`.
        let response = client.read_response();
        let is_error = response
            .as_ref()
            .is_none_or(|response| (400..500).contains(&response.status()));
        assert!(is_error && client.is_closed(), "client {k}: {response:?}");
    }
    assert!(upstream.requests().is_empty());
}
