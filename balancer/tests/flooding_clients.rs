//! Clients that send requests at full speed without waiting for their responses, and what that means
//! for others. The balancer's server runs in the test's own process, on one thread with the
//! clients, so that the number of requests between two events does not depend on the machine.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{LIVENESS_REQUEST, TestServer, UNKNOWN_PATH_REQUEST};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::spawn_local;

/// The limit on client connections.
const MAX_CLIENTS: usize = 8;
/// The number of requests that the flooding client sends.
const FLOOD_REQUESTS: usize = 2000;
/// The number of exchanges of the other client meanwhile.
const EXCHANGES: usize = 20;
/// The number of the flooding client's requests that may be handled during one exchange. The HTTP
/// library handles up to 16 requests of one connection before others get their turn.
const MAX_REQUESTS_PER_EXCHANGE: usize = 8;

async fn exchange(client: &mut TcpStream, request: &str) {
    client.write_all(request.as_bytes()).await.unwrap();
    let mut response = [0; 512];
    assert!(client.read(&mut response).await.unwrap() > 0);
}

/// Reads responses in a task of its own. Returns the number of those that have been received so far.
fn count_responses(mut client: OwnedReadHalf) -> Rc<Cell<usize>> {
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    spawn_local(async move {
        let mut buffer = [0; 4096];
        while let Ok(length) = client.read(&mut buffer).await
            && length > 0
        {
            let starts = buffer[..length]
                .windows(8)
                .filter(|part| part == b"HTTP/1.1");
            counted.set(counted.get() + starts.count());
        }
    });
    count
}

/// Guards against one client that sends unsound requests at full speed and delays the responses to
/// others, because many of its requests are handled in a row.
#[tokio::test(flavor = "local")]
async fn others_get_their_turn_between_the_requests_of_a_flooding_client() {
    let server = TestServer::start_with_default_buffers(MAX_CLIENTS).await;
    let mut other = TcpStream::connect(server.address).await.unwrap();
    exchange(&mut other, LIVENESS_REQUEST).await;
    let flooding = TcpStream::connect(server.address).await.unwrap();
    let (flooding, mut writer) = flooding.into_split();
    let responses = count_responses(flooding);
    let flood = UNKNOWN_PATH_REQUEST.repeat(FLOOD_REQUESTS);
    writer.write_all(flood.as_bytes()).await.unwrap();
    for _ in 0..EXCHANGES {
        exchange(&mut other, LIVENESS_REQUEST).await;
    }
    let responses = responses.get();
    println!("{responses} responses to the flooding client");
    assert!(responses > 0, "the flooding client must be served too");
    assert!(
        responses <= EXCHANGES * MAX_REQUESTS_PER_EXCHANGE,
        "{responses} responses to the flooding client during {EXCHANGES} exchanges"
    );
}
