//! The HTTP interface to read and watch the endpoint list, in its published format.

use super::connection::{Api, MAX_CONNECTIONS, SlowReaderLimit};
use super::response::{Body, error_response, json_text_response, overload_response};
use super::watch_stream::{MAX_UNREAD_LINES, WatchEnd, WatchStream};
use crate::config::Limits;
use crate::metrics::Metrics;
use crate::published_view::PublishedView;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::wrappers::ReceiverStream;

const LIST_PATH: &str = "/registry/instances";

/// The HTTP interface to read and watch the endpoint list.
pub struct ReadApi {
    published: Arc<PublishedView>,
    metrics: Arc<Metrics>,
    list_slots: Arc<Semaphore>,
    watch_slots: Arc<Semaphore>,
    connection_slots: Arc<Semaphore>,
}

impl ReadApi {
    pub fn new(published: Arc<PublishedView>, metrics: Arc<Metrics>, limits: &Limits) -> Arc<Self> {
        Arc::new(Self {
            published,
            metrics,
            list_slots: Arc::new(Semaphore::new(limits.max_concurrent_list_requests)),
            watch_slots: Arc::new(Semaphore::new(limits.max_watches)),
            connection_slots: Arc::new(Semaphore::new(limits.max_watches + MAX_CONNECTIONS)),
        })
    }

    fn route(&self, request: &Request<Incoming>, limit: Arc<SlowReaderLimit>) -> Response<Body> {
        if request.uri().path() != LIST_PATH {
            return error_response(StatusCode::NOT_FOUND, "the list is at /registry/instances");
        }
        if request.method() != Method::GET {
            return error_response(StatusCode::METHOD_NOT_ALLOWED, "this side is for reading");
        }
        let query = request.uri().query().unwrap_or_default();
        if query_value(query, "stream") == Some("1") {
            let index = query_value(query, "index").and_then(|index| index.parse().ok());
            return self.watch(index.filter(|index| *index > 0), limit);
        }
        self.list()
    }

    fn list(&self) -> Response<Body> {
        let Ok(_slot) = self.list_slots.try_acquire() else {
            self.metrics.overloads.inc();
            return overload_response("too many list requests at the same time; retry later");
        };
        self.metrics.snapshots.inc();
        json_text_response(self.published.update_since(None).json)
    }

    /// Starts a watch for a client that has the list at `revision`, or has no list if it is `None`.
    fn watch(&self, revision: Option<u64>, limit: Arc<SlowReaderLimit>) -> Response<Body> {
        let Ok(slot) = Arc::clone(&self.watch_slots).try_acquire_owned() else {
            self.metrics.overloads.inc();
            return overload_response("too many watches at once");
        };
        limit.set_watch();
        let (lines, body) = mpsc::channel(MAX_UNREAD_LINES);
        let metrics = Arc::clone(&self.metrics);
        let stream = WatchStream {
            published: Arc::clone(&self.published),
            metrics: Arc::clone(&metrics),
            lines,
        };
        tokio::spawn(async move {
            metrics.watches.inc();
            if stream.run(revision).await == WatchEnd::SlowReader {
                metrics.slow_watches.inc();
                limit.close();
            }
            metrics.watches.dec();
            drop(slot);
        });
        Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(body))))
    }
}

impl Api for ReadApi {
    fn connection_slots(&self) -> Arc<Semaphore> {
        Arc::clone(&self.connection_slots)
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
        limit: Arc<SlowReaderLimit>,
    ) -> Response<Body> {
        self.route(&request, limit)
    }
}

fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
}
