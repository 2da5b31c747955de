//! The texts of the decision module's log events. Operators and the simulator get them byte for
//! byte.

use frostkeel_policy::{LogEvent, StalenessCause};

#[test]
fn endpoints_confirmed_event_states_the_length_and_the_cause_of_the_pause() {
    for (cause, text) in [
        (StalenessCause::WatchSilent, "discovery was silent"),
        (StalenessCause::WatchEnded, "discovery ended the watch"),
        (StalenessCause::PollsRejected, "discovery turned calls away"),
        (StalenessCause::DiscoveryMoved, "discovery moved"),
        (StalenessCause::PartialResponse, "an answer broke off"),
    ] {
        let event = LogEvent::EndpointsConfirmed {
            paused_for_s: 1.256,
            cause,
        };
        assert_eq!(
            event.to_string(),
            format!("list confirmed again: sends were held for 1.26 s, as {text}")
        );
    }
}
