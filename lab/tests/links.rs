//! Links that carry connections over real sockets: relaying, delays, cuts and resets.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::experiment::{LinkCondition, LinkConditions};
use frostkeel_lab::links::{Connection, Link, LinkPeer, Links};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

fn link(peer: LinkPeer) -> Arc<Link> {
    Links::new(1, false).between(0, peer)
}

fn outbound(condition: LinkCondition) -> LinkConditions {
    LinkConditions {
        outbound: condition,
        ..LinkConditions::default()
    }
}

fn outbound_cut() -> LinkConditions {
    outbound(LinkCondition {
        is_cut: true,
        ..LinkCondition::default()
    })
}

/// Opens a connection through the link; returns the balancer's end and the other party's end.
async fn connect(link: &Link) -> (TcpStream, Box<dyn Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("a connection");
    (
        client,
        link.attach(listener.accept().await.expect("accepted").0),
    )
}

async fn assert_delivered(client: &mut TcpStream, server: &mut Box<dyn Connection>, text: &[u8]) {
    client.write_all(text).await.expect("written");
    let mut received = vec![0; text.len()];
    server.read_exact(&mut received).await.expect("read");
    assert_eq!(received, text);
}

#[tokio::test]
async fn open_link_relays_both_directions_and_the_end_of_the_stream() {
    let link = link(LinkPeer::Discovery);
    let (mut client, mut server) = connect(&link).await;
    assert_delivered(&mut client, &mut server, b"there").await;
    server.write_all(b"back").await.expect("written");
    drop(server);
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).await.expect("read");
    assert_eq!(rest, b"back");
}

#[tokio::test]
async fn delayed_link_delivers_only_after_the_delay() {
    let link = link(LinkPeer::Upstream(3));
    let delay = Duration::from_millis(80);
    link.set_conditions(outbound(LinkCondition {
        delay,
        ..LinkCondition::default()
    }));
    let (mut client, mut server) = connect(&link).await;
    let start = Instant::now();
    assert_delivered(&mut client, &mut server, b"late").await;
    assert!(start.elapsed() >= delay);
}

#[tokio::test]
async fn cut_blocks_one_direction_until_the_cut_ends() {
    let link = link(LinkPeer::Upstream(3));
    let (mut client, mut server) = connect(&link).await;
    assert_delivered(&mut client, &mut server, b"before").await;
    link.set_conditions(outbound_cut());
    client.write_all(b"late").await.expect("written");
    server.write_all(b"back").await.expect("written");
    let mut received = [0; 4];
    client
        .read_exact(&mut received)
        .await
        .expect("data of the direction that is not cut");
    let mut delayed = [0; 4];
    let waited = timeout(Duration::from_millis(60), server.read_exact(&mut delayed)).await;
    assert!(waited.is_err(), "data passed the link during the cut");
    link.set_conditions(LinkConditions::default());
    server
        .read_exact(&mut delayed)
        .await
        .expect("data that was sent during the cut");
    assert_eq!(&delayed, b"late");
}

#[tokio::test]
async fn reset_closes_open_connections_and_end_of_cut_closes_connections_opened_during_the_cut() {
    let link = link(LinkPeer::Upstream(3));
    let (mut client, _server) = connect(&link).await;
    link.reset_connections();
    assert!(!matches!(client.read(&mut [0; 1]).await, Ok(1..)));
    link.set_conditions(outbound_cut());
    let (mut client, _server) = connect(&link).await;
    link.set_conditions(LinkConditions::default());
    assert!(!matches!(client.read(&mut [0; 1]).await, Ok(1..)));
}
