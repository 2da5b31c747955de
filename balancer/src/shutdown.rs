//! The graceful shutdown.

use crate::client::Phase;
use crate::config::Config;
use crate::process::RunningBalancer;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// After SIGTERM the platform's front sends new connections for another 0.4 s at most.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// SIGKILL may follow SIGTERM after the longest deadline, of which 3 s count at most, and another 0.7 s; this is
/// slightly before.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// For the responses to the requests that are in flight at the forced close.
const FORCE_CLOSE_TIME: Duration = Duration::from_millis(200);

/// Drains: connections end with their next response, then between requests, and what is still in flight shortly before
/// SIGKILL is closed by force.
pub(crate) async fn drain(config: &Config, running: &mut RunningBalancer) {
    running.phase.send_replace(Phase::Draining);
    sleep(ACCEPT_AFTER_TERM).await;
    running.phase.send_replace(Phase::Closing);
    let deadlines = config
        .site
        .settings
        .classes
        .iter()
        .map(|class| class.deadline);
    let longest = deadlines.max().unwrap_or_default().min(MAX_DEADLINE);
    let time_left =
        (longest + KILL_AFTER_DEADLINE).saturating_sub(ACCEPT_AFTER_TERM + FORCE_CLOSE_TIME);
    if timeout(time_left, &mut running.server).await.is_err() {
        running.event_loop.force_close();
        let _ = timeout(FORCE_CLOSE_TIME, &mut running.server).await;
    }
}
