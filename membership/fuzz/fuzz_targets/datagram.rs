//! Passes arbitrary bytes as datagrams to the state machine, which must neither panic nor remember
//! more members than its maximum. The test
//! `a_million_mutated_datagrams_cause_no_panic_and_no_unbounded_growth` does the same with mutated
//! datagrams that pass the checksum.
#![no_main]

use frostkeel_membership::{Config, MAX_DATAGRAM_LEN, Membership, Name, Output, PeerIndex};
use libfuzzer_sys::fuzz_target;
use std::time::Duration;

const PEER_COUNT: u16 = 4;
const MAX_MEMBERS: usize = 8;
/// The simulated time between two datagrams.
const INTERVAL: Duration = Duration::from_millis(100);

fuzz_target!(|datagrams: Vec<Vec<u8>>| {
    let mut membership = member();
    for (number, datagram) in (1u32..).zip(&datagrams) {
        let now = INTERVAL * number;
        let _ = membership.handle_datagram(now, PeerIndex(1), datagram);
        membership.handle_timeout(now);
        while let Some(output) = membership.poll_output() {
            if let Output::Send { datagram, .. } = output {
                assert!(datagram.len() <= MAX_DATAGRAM_LEN);
            }
        }
        assert!(membership.view().len() <= MAX_MEMBERS + 1);
    }
});

fn member() -> Membership {
    let config = Config {
        fleet: "fuzz".into(),
        name: Name::new("m0").expect("a valid name"),
        peer: PeerIndex(0),
        peer_count: PEER_COUNT,
        incarnation: 1_700_000_000_000,
        max_members: MAX_MEMBERS,
        down_member_retention: Duration::from_secs(600),
        seed: 1,
    };
    Membership::new(config, Duration::ZERO).expect("a valid configuration")
}
