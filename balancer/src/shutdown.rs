//! The graceful shutdown.

use crate::client::Phase;
use crate::config::Config;
use crate::process::RunningBalancer;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// After SIGTERM, the platform's front end sends new connections for at most another 0.4 s.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// SIGKILL may follow SIGTERM after the longest deadline, capped at 3 s, plus 0.7 s; the forced close is slightly
/// earlier.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// The time to send the responses of requests in flight at the forced close.
const FORCE_CLOSE_TIME: Duration = Duration::from_millis(200);

/// Drains the balancer: connections close after their next response, then when they are idle. Requests still in flight
/// shortly before SIGKILL are forced to close.
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
