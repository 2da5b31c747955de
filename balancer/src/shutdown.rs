//! The graceful shutdown, which starts at SIGTERM and ends before SIGKILL.

use crate::client::Phase;
use crate::config::Config;
use crate::process::RunningBalancer;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time after SIGTERM during which new connections are still accepted. The platform's front end opens new
/// connections for up to 0.4 s after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// The highest deadline considered for the shutdown. SIGKILL may follow SIGTERM after the longest deadline of any
/// class, capped at this value, plus 0.7 s.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The time from the longest deadline after SIGTERM to the end of the forced close. It is shorter than 0.7 s, so that
/// the process has ended before SIGKILL.
const FORCE_CLOSE_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// The time reserved at the forced close for sending the final responses of the requests in flight.
const FORCE_CLOSE_TIME: Duration = Duration::from_millis(200);

/// Drains the balancer. At first each connection closes after its next response; then new connections are no longer
/// accepted and idle connections are closed. Shortly before SIGKILL, the attempts of requests in flight are aborted, so
/// that each request gets a final response.
pub(crate) async fn drain(config: &Config, running: &mut RunningBalancer) {
    running.phase.send_replace(Phase::Draining);
    sleep(ACCEPT_AFTER_SIGTERM).await;
    running.phase.send_replace(Phase::Closing);
    let deadlines = config
        .site
        .settings
        .classes
        .iter()
        .map(|class| class.deadline);
    let longest = deadlines.max().unwrap_or_default().min(MAX_DEADLINE);
    let drain_timeout = (longest + FORCE_CLOSE_AFTER_DEADLINE)
        .saturating_sub(ACCEPT_AFTER_SIGTERM + FORCE_CLOSE_TIME);
    if timeout(drain_timeout, &mut running.server).await.is_err() {
        running.event_loop.force_close();
        let _ = timeout(FORCE_CLOSE_TIME, &mut running.server).await;
    }
}
