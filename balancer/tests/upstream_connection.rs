//! The number of bytes that a connection to an upstream writes.

use frostkeel_balancer::connection::{Connection, wire_length};
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_LENGTH, HOST};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// If fewer bytes than a complete request have been written, the request cannot have run. To prove
/// this, the balancer must know the length of the request in advance.
#[tokio::test(flavor = "local")]
async fn wire_length_predicts_the_bytes_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    for (method, body) in [("GET", ""), ("POST", ""), ("POST", "some words")] {
        let mut connection = Connection::open(address, ()).await.unwrap();
        let mut request = Request::builder()
            .method(method)
            .uri("/book/day?n=1")
            .header(HOST, "app.svc");
        if method == "POST" {
            request = request.header(CONTENT_LENGTH, body.len());
        }
        let request = request.body(Full::from(body)).unwrap();
        let length = wire_length(&request);
        let upstream = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; length as usize];
            stream.read_exact(&mut bytes).await.unwrap();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .await
                .unwrap();
            String::from_utf8(bytes).unwrap()
        };
        let (response, received) = tokio::join!(connection.send(request), upstream);
        assert!(response.unwrap().status().is_success());
        assert!(
            received.ends_with(&format!("\r\n\r\n{body}")),
            "{received:?}"
        );
        assert_eq!(connection.written(), length);
    }
}
