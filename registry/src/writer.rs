//! The one who writes: commands in the order in which they come, one commit for all that came while the disk was busy, an
//! answer only when what it says is durable and shown.

use crate::list::{Command, List, Record, Refused};
use crate::metrics::Metrics;
use crate::publish::Published;
use frostkeel_store::{Change, Store, StoreError};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Commands that go into one commit.
const TOGETHER: usize = 512;
/// How often leases are looked at.
const TICK: Duration = Duration::from_millis(250);

/// An entry as it is kept.
#[derive(Deserialize, Serialize)]
pub struct KeptEntry {
    /// How it is shown.
    pub record: Record,
    /// How long its lease lasts: time left, and no date, as clocks are set.
    pub lease_ms: u64,
}

/// Why a command was not carried out, or not yet.
#[derive(Clone, Debug, Error)]
pub enum WriteError {
    /// The list says no.
    #[error(transparent)]
    Refused(#[from] Refused),
    /// There is no room on the disk.
    #[error("no room on the disk: it is not durable; say it again later")]
    NoRoom,
    /// The disk has failed, and the service ends.
    #[error("the disk has failed: nothing is known of what was written")]
    Failed,
}

/// A command, and who waits for it.
pub struct Job {
    /// What is asked.
    pub command: Command,
    /// The version that it holds for, if it does for one only.
    pub if_rev: Option<u64>,
    /// Gets the version then.
    pub reply: oneshot::Sender<Result<u64, WriteError>>,
}

/// The one who writes.
pub struct Writer {
    pub list: List,
    pub store: Store,
    pub published: Arc<Published>,
    pub metrics: Arc<Metrics>,
    pub start: Instant,
}

impl Writer {
    /// Writes until nobody is left to ask, or the disk has failed.
    pub async fn run(mut self, mut jobs: mpsc::Receiver<Job>) -> Result<(), StoreError> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut unwritten = Vec::new();
        loop {
            let mut answers = Vec::new();
            tokio::select! {
                job = jobs.recv() => match job {
                    None => return Ok(()),
                    Some(job) => {
                        self.apply(job, &mut answers);
                        while answers.len() < TOGETHER && let Ok(job) = jobs.try_recv() {
                            self.apply(job, &mut answers);
                        }
                    }
                },
                _ = ticks.tick() => {
                    let held = self.list.holds();
                    self.list.tick(self.start.elapsed());
                    match (held, self.list.holds()) {
                        (false, true) => tracing::warn!(
                            "holding entries whose leases have ended: too many at once, or just after a pause; is it the network?"
                        ),
                        (true, false) => tracing::info!("no entries are held any more"),
                        _ => {}
                    }
                }
            }
            unwritten.extend(self.list.take_touched());
            let written = self.commit(&mut unwritten).await;
            for (reply, answer) in answers {
                let answer = match (&written, answer) {
                    (_, Err(refused)) => Err(refused.into()),
                    (Ok(()), Ok(rev)) => Ok(rev),
                    (Err(StoreError::Full), _) => Err(WriteError::NoRoom),
                    (Err(_), _) => Err(WriteError::Failed),
                };
                let count = if answer.is_ok() {
                    &self.metrics.writes
                } else {
                    &self.metrics.writes_refused
                };
                count.inc();
                // Who does not wait any more does not need it.
                let _ = reply.send(answer);
            }
            match written {
                Ok(()) => {}
                Err(StoreError::Full) => {
                    tracing::warn!("no room on the disk: writes are refused, reads go on")
                }
                Err(e) => return Err(e),
            }
        }
    }

    fn apply(&mut self, job: Job, answers: &mut Vec<(Reply, Result<u64, Refused>)>) {
        let answer = self
            .list
            .apply(self.start.elapsed(), job.command, job.if_rev);
        answers.push((job.reply, answer));
    }

    /// Makes changes durable, then shows them. What the disk has no room for waits.
    async fn commit(&mut self, unwritten: &mut Vec<Touched>) -> Result<(), StoreError> {
        if unwritten.is_empty() {
            return Ok(());
        }
        let (rev, changes) = (
            self.list.rev(),
            unwritten.iter().map(change).collect::<Vec<_>>(),
        );
        tokio::task::block_in_place(|| self.store.commit(rev, &changes))?;
        self.metrics.commits.inc();
        unwritten.clear();
        self.published
            .follow(self.list.changes_after(self.published.rev()));
        let (ready, terminating) = self.list.counts();
        self.metrics.version.set(rev as i64);
        self.metrics.ready.set(ready as i64);
        self.metrics.terminating.set(terminating as i64);
        self.metrics.holds.set(i64::from(self.list.holds()));
        Ok(())
    }
}

type Reply = oneshot::Sender<Result<u64, WriteError>>;
type Touched = (String, Option<(Record, Duration)>);

fn change((uid, entry): &Touched) -> Change {
    match entry {
        None => Change::Delete(uid.clone()),
        Some((record, lease)) => {
            let entry = KeptEntry {
                record: record.clone(),
                lease_ms: lease.as_millis() as u64,
            };
            // A record has only texts and numbers: it can always be written.
            Change::Put(uid.clone(), serde_json::to_vec(&entry).unwrap_or_default())
        }
    }
}
