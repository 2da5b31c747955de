//! Any bytes at all as datagrams: the state machine neither panics nor keeps more than it may. The
//! plain test `a_million_mutated_datagrams_do_no_harm` does the same with mutations that get past
//! the checksum.
#![no_main]

use frostkeel_membership::{Config, Membership, Name, Output, PeerIndex};
use libfuzzer_sys::fuzz_target;
use std::time::Duration;

fuzz_target!(|datagrams: Vec<Vec<u8>>| {
    let config = Config {
        fleet: "fuzz".into(),
        name: Name::new("m0").expect("a name"),
        peer: PeerIndex(0),
        peer_count: 4,
        incarnation: 1_700_000_000_000,
        max_members: 8,
        forget_after: Duration::from_secs(600),
        seed: 1,
    };
    let mut machine = Membership::new(config, Duration::ZERO).expect("it can be meant");
    for (k, datagram) in (1u32..).zip(&datagrams) {
        let now = Duration::from_millis(100) * k;
        let _ = machine.handle_datagram(now, PeerIndex(1), datagram);
        machine.handle_timeout(now);
        while let Some(output) = machine.poll_output() {
            if let Output::Send { datagram, .. } = output {
                assert!(datagram.len() <= frostkeel_membership::MAX_DATAGRAM_LEN);
            }
        }
        assert!(machine.view().len() <= 9);
    }
});
