//! Reload of the configuration at SIGHUP.

use crate::config::Config;
use crate::event_loop::EventLoop;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

/// The interval between two reads of an unreadable or incomplete configuration file after SIGHUP.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of reads after one SIGHUP.
const MAX_READS: u32 = 240;

/// Reloads the configuration at each SIGHUP; never returns.
pub(crate) async fn reload_on(hangup: &mut Signal, event_loop: &Rc<EventLoop>) {
    while hangup.recv().await.is_some() {
        let mut running = pin!(reload(event_loop));
        // Another signal restarts the reload, because the file may have been replaced after it was read.
        while tokio::select! { () = &mut running => false, again = hangup.recv() => again.is_some() }
        {
            running.set(reload(event_loop));
        }
    }
    std::future::pending().await
}

/// Applies the address of discovery from the configuration file; other changes take effect only after a restart. If the
/// file is unreadable or incomplete, reads it again up to [`MAX_READS`] times in total.
async fn reload(event_loop: &Rc<EventLoop>) {
    for read in 0..MAX_READS {
        match Config::from_env() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                event_loop.set_discovery_address(config.discovery);
                return;
            }
            Err(error) if read == 0 => tracing::warn!(%error, "configuration unreadable, retrying"),
            Err(_) => (),
        }
        sleep(RETRY_INTERVAL).await;
    }
    tracing::error!(reads = MAX_READS, "configuration not reloaded");
}
