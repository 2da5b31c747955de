//! The HTTP status page that shows this balancer's view of the members as JSON.

use super::Driver;
use crate::task_group::TaskGroup;
use bytes::Bytes;
use frostkeel_membership::{Counters, MemberRecord, MemberState, Phase};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// The path of the status page.
const PATH: &str = "/members";
/// The maximum number of connections to the page that are served concurrently.
const MAX_READERS: usize = 4;
/// The size of a connection's buffer, which is also the maximum length of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest time that one connection to the page is served.
const READER_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct Page<'a> {
    fleet: &'a str,
    name: &'a str,
    phase: Phase,
    /// This balancer's local health score: 0 means healthy, 4 is the worst.
    #[serde(rename = "slowness")]
    health_score: u32,
    version: u64,
    /// A digest of the live members, in hexadecimal: equal for balancers whose views have the same live members.
    digest: String,
    #[serde(rename = "there")]
    present_count: usize,
    members: Vec<Row<'a>>,
    counters: Counters,
}

#[derive(Serialize)]
struct Row<'a> {
    name: &'a str,
    #[serde(rename = "place")]
    peer: u16,
    incarnation: u64,
    #[serde(rename = "turn")]
    rejoin_count: u16,
    #[serde(rename = "standing")]
    state: MemberState,
    since_s: f64,
    #[serde(rename = "from")]
    reported_by: Option<&'a str>,
}

/// Serves the status page on `listener` until the task is aborted.
pub(super) async fn serve(driver: Rc<Driver>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_READERS));
    let readers = TaskGroup::default();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let driver = Rc::clone(&driver);
        readers.spawn(async move {
            // An error or a timeout of one connection does not affect the others.
            let _ = timeout(READER_TIMEOUT, serve_reader(&driver, stream)).await;
            drop(permit);
        });
    }
}

async fn serve_reader(driver: &Rc<Driver>, stream: TcpStream) -> hyper::Result<()> {
    let service = service_fn(|request| {
        let response = respond(driver, &request);
        async { Ok::<_, Infallible>(response) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false);
    builder
        .serve_connection(TokioIo::new(stream), service)
        .await
}

fn respond(driver: &Driver, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != PATH {
        let mut response = Response::new(Full::new(Bytes::from_static(b"the page is /members\n")));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(Full::new(page(driver).into()));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn page(driver: &Driver) -> Vec<u8> {
    let (machine, now) = (driver.machine.borrow(), driver.start.elapsed());
    let own = machine.identity();
    let view = machine.view();
    // The records are copied first, because the rows borrow the names from them.
    let members: Vec<MemberRecord> = view.members().copied().collect();
    let page = Page {
        fleet: &driver.fleet,
        name: own.name.as_str(),
        phase: machine.phase(),
        health_score: machine.health_score(),
        version: view.version(),
        digest: format!("{:016x}", view.digest()),
        present_count: view.live_count(),
        members: members.iter().map(|member| row(member, now)).collect(),
        counters: machine.counters(),
    };
    serde_json::to_vec(&page).unwrap_or_default()
}

fn row(member: &MemberRecord, now: Duration) -> Row<'_> {
    Row {
        name: member.id.name.as_str(),
        peer: member.id.peer.0,
        incarnation: member.id.incarnation,
        rejoin_count: member.id.rejoin_count,
        state: member.state,
        since_s: now.saturating_sub(member.since).as_secs_f64(),
        reported_by: member.reported_by.as_ref().map(|name| name.as_str()),
    }
}
