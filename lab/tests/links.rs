//! Connections through links, over real sockets.

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

/// A balancer's end, and the other party's end behind the link.
async fn connect(link: &Link) -> (TcpStream, Box<dyn Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("a connection");
    (
        client,
        link.attach(listener.accept().await.expect("accepted").0),
    )
}

async fn pass(client: &mut TcpStream, server: &mut Box<dyn Connection>, text: &[u8]) {
    client.write_all(text).await.expect("written");
    let mut received = vec![0; text.len()];
    server.read_exact(&mut received).await.expect("read");
    assert_eq!(received, text);
}

#[tokio::test]
async fn open_link_carries_both_directions_and_the_end() {
    let link = link(LinkPeer::Discovery);
    let (mut client, mut server) = connect(&link).await;
    pass(&mut client, &mut server, b"there").await;
    server.write_all(b"back").await.expect("written");
    drop(server);
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).await.expect("read");
    assert_eq!(rest, b"back");
}

#[tokio::test]
async fn delayed_link_delivers_no_sooner() {
    let link = link(LinkPeer::Upstream(3));
    let delay = Duration::from_millis(80);
    link.set_conditions(outbound(LinkCondition {
        delay,
        ..LinkCondition::default()
    }));
    let (mut client, mut server) = connect(&link).await;
    let start = Instant::now();
    pass(&mut client, &mut server, b"late").await;
    assert!(start.elapsed() >= delay);
}

#[tokio::test]
async fn cut_holds_one_direction_until_the_link_is_open_again() {
    let link = link(LinkPeer::Upstream(3));
    let (mut client, mut server) = connect(&link).await;
    pass(&mut client, &mut server, b"before").await;
    link.set_conditions(outbound_cut());
    client.write_all(b"held").await.expect("written");
    server.write_all(b"back").await.expect("written");
    let mut received = [0; 4];
    client
        .read_exact(&mut received)
        .await
        .expect("the other direction is open");
    let mut held = [0; 4];
    let waited = timeout(Duration::from_millis(60), server.read_exact(&mut held)).await;
    assert!(waited.is_err(), "nothing passes a cut");
    link.set_conditions(LinkConditions::default());
    server.read_exact(&mut held).await.expect("it goes on");
    assert_eq!(&held, b"held");
}

#[tokio::test]
async fn reset_ends_open_connections_and_a_cut_those_opened_meanwhile() {
    let link = link(LinkPeer::Upstream(3));
    let (mut client, _server) = connect(&link).await;
    link.reset_connections();
    assert!(!matches!(client.read(&mut [0; 1]).await, Ok(1..)));
    link.set_conditions(outbound_cut());
    let (mut client, _server) = connect(&link).await;
    link.set_conditions(LinkConditions::default());
    assert!(!matches!(client.read(&mut [0; 1]).await, Ok(1..)));
}
