//! Detects idle connections that the network has silently dropped. If requests are lost clearly
//! more often on idle connections than on connections in use, idle connections are closed before
//! they are used again.

/// Seconds without use after which a connection counts as idle and may have been dropped.
const MIN_IDLE_S: f64 = 0.3;
/// Seconds for which idle connections remain suspected after the last unanswered attempt on an idle
/// connection.
const SUSPICION_VALID_S: f64 = 15.0;
/// Weight of the newest attempt in the fractions of unanswered attempts. It is low, as two long
/// requests in a row are no evidence that connections were dropped.
const NEWEST_WEIGHT: f64 = 0.05;
/// Fraction of unanswered attempts on idle connections above which these connections are suspected,
/// if [`UNANSWERED_RATIO`] is exceeded too.
const MIN_UNANSWERED_FRACTION: f64 = 0.3;
/// Ratio of the fraction of unanswered attempts on idle connections to that on connections in use,
/// above which idle connections are suspected.
const UNANSWERED_RATIO: f64 = 2.0;

/// The last use of the connections to one upstream.
#[derive(Default)]
pub(super) struct ConnectionUse {
    /// Time at which an attempt was last sent or ended; zero if there was none.
    last_used_at_s: f64,
}

impl ConnectionUse {
    pub(super) fn record(&mut self, now_s: f64) {
        self.last_used_at_s = now_s;
    }

    /// Returns for how many seconds the connections have been idle; zero if they are in use or were
    /// never used.
    pub(super) fn idle_s(&self, now_s: f64, in_flight: u32) -> f64 {
        if in_flight > 0 || self.last_used_at_s <= 0.0 {
            0.0
        } else {
            now_s - self.last_used_at_s
        }
    }
}

/// Statistics of attempts on idle connections and on connections in use. If idle connections are
/// suspected wrongly, each attempt that could have used one costs a handshake.
#[derive(Default)]
pub(super) struct IdleConnectionStatistics {
    /// Fraction of the attempts on connections in use that got no response, smoothed.
    unanswered_fraction_in_use: f64,
    /// Fraction of the attempts on idle connections that got no response, smoothed.
    unanswered_fraction_idle: f64,
    /// Seconds without use above which a connection is suspected to be dropped.
    max_trusted_idle_s: f64,
    /// Time until which connections without use for longer than `max_trusted_idle_s` are suspected.
    suspect_until_s: f64,
}

impl IdleConnectionStatistics {
    /// Returns whether a connection that has been idle for `idle_s` seconds has to be closed rather
    /// than used.
    pub(super) fn is_suspect(&self, idle_s: f64, now_s: f64) -> bool {
        idle_s > self.max_trusted_idle_s
            && now_s < self.suspect_until_s
            && self.are_idle_connections_lossy()
    }

    /// Records whether an attempt on a connection that had been idle for `idle_s` seconds got a
    /// response.
    pub(super) fn record(&mut self, idle_s: f64, was_unanswered: bool, now_s: f64) {
        let was_idle = idle_s > MIN_IDLE_S;
        let unanswered_fraction = if was_idle {
            &mut self.unanswered_fraction_idle
        } else {
            &mut self.unanswered_fraction_in_use
        };
        *unanswered_fraction +=
            NEWEST_WEIGHT * (f64::from(u8::from(was_unanswered)) - *unanswered_fraction);
        let are_idle_connections_suspect = self.unanswered_fraction_idle > MIN_UNANSWERED_FRACTION
            && self.are_idle_connections_lossy();
        if was_unanswered && was_idle && are_idle_connections_suspect {
            let is_suspicion_valid = now_s < self.suspect_until_s;
            let previous_max_trusted_idle_s = if is_suspicion_valid {
                self.max_trusted_idle_s
            } else {
                f64::INFINITY
            };
            self.max_trusted_idle_s = previous_max_trusted_idle_s
                .min(idle_s / 2.0)
                .max(MIN_IDLE_S);
            self.suspect_until_s = now_s + SUSPICION_VALID_S;
        }
    }

    fn are_idle_connections_lossy(&self) -> bool {
        self.unanswered_fraction_idle > UNANSWERED_RATIO * self.unanswered_fraction_in_use
    }
}
