//! The writers of a registry run, which change the weights of upstreams.

use super::registry_run::{RegistryRun, RegistryRunOptions};
use crate::checks::watch_checks::read_is_as_new_as_acknowledged;
use crate::sync::lock;
use frostkeel_registry::client::call;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Probability with which a writer reads and checks the list after an acknowledged change.
const READ_CHECK_PROBABILITY: f64 = 0.05;

/// A writer of changes. Each upstream belongs to one writer, which waits for the response to a
/// change before it sends the next and sets a higher weight each time. The weights of an upstream
/// thus increase in the order of their acknowledgements.
pub(super) struct Writer {
    run: Arc<RegistryRun>,
    /// Numbers of the upstreams whose weights only this writer changes.
    upstreams: Vec<u32>,
    /// Time between the due times of successive changes of this writer.
    interval: Duration,
    /// Weight of the next change; shared by all writers, so that each change sets a different
    /// weight.
    next_weight: Arc<AtomicU64>,
    rng: ChaCha8Rng,
}

impl Writer {
    pub fn new(
        run: Arc<RegistryRun>,
        options: &RegistryRunOptions,
        number: u32,
        next_weight: Arc<AtomicU64>,
    ) -> Self {
        let is_own = |upstream: &u32| upstream % options.writer_count == number;
        Self {
            run,
            upstreams: (0..options.upstream_count).filter(is_own).collect(),
            interval: Duration::from_secs_f64(
                f64::from(options.writer_count) / options.changes_per_s,
            ),
            next_weight,
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ (u64::from(number) << 32)),
        }
    }

    /// Sends one change per interval until `duration` after the start of the run, or until
    /// [`RegistryRun::changes`] has no element for the next change. Waits for the response to each
    /// change before it sends the next.
    pub async fn run(mut self, duration: Duration) {
        let mut due = Instant::now() + self.interval.mul_f64(self.rng.random::<f64>());
        while self.run.start.elapsed() < duration && !self.upstreams.is_empty() {
            sleep_until(due).await;
            due += self.interval;
            let upstream = self.upstreams[self.rng.random_range(0..self.upstreams.len())];
            let weight = self.next_weight.fetch_add(1, Ordering::Relaxed);
            let Some(address) = self.run.registry.write_address() else {
                return;
            };
            // The weight is also the index of the change.
            if self.run.changes.get(weight as usize).is_none() {
                return;
            }
            self.write(address, format!("u{upstream}"), weight).await;
        }
    }

    /// Sends the change that sets `weight`, which is also its index in [`RegistryRun::changes`].
    /// After a random selection of acknowledged changes, checks that a read returns a list at least
    /// as new as the change.
    async fn write(&mut self, address: SocketAddr, uid: String, weight: u64) {
        let sent_us = self.run.now_us();
        self.run.changes[weight as usize]
            .sent_us
            .store(sent_us, Ordering::Relaxed);
        let Some(revision) = write_weight(address, &uid, weight).await else {
            self.run.failed_count.fetch_add(1, Ordering::Relaxed);
            return;
        };
        {
            let mut acknowledged = lock(&self.run.acknowledged);
            acknowledged.weights.insert(uid, weight);
            acknowledged
                .times_us
                .push((self.run.now_us() - sent_us) as u32);
        }
        if self.rng.random::<f64>() < READ_CHECK_PROBABILITY
            && let Some(list) = self.run.read_list().await
            && let Some(violation) = read_is_as_new_as_acknowledged(revision, list.revision)
        {
            self.run.add_violation(violation);
        }
    }
}

/// Writes an upstream's weight. Returns the revision of the endpoint list in the acknowledgement,
/// or `None` if the write failed or got no valid response.
async fn write_weight(address: SocketAddr, uid: &str, weight: u64) -> Option<u64> {
    let body = format!("{{\"capacity_hint\":{weight}}}");
    let target = format!("/upstreams/{uid}/weight");
    let response = call(address, Method::PUT, &target, body).await.ok()?;
    let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
    body["rev"].as_u64().filter(|_| response.status == 200)
}
