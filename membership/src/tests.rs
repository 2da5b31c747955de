//! The rules of the view, over every order in which news can come; and datagrams that nobody meant.

use crate::wire::{self, Own};
use crate::*;
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const FLEET: &str = "tests";
const BOOT: u64 = 1_700_000_000_000;

fn name(n: u16) -> Name {
    Name::new(&format!("m{n}")).expect("a name")
}

fn life(n: u16, boot: u64) -> Identity {
    Identity {
        name: name(n),
        place: Place(n),
        boot: BOOT + boot,
        turn: 0,
        leaving: false,
    }
}

fn member(n: u16, boot: u64) -> Membership {
    let config = Config {
        fleet: FLEET.into(),
        name: name(n),
        place: Place(n),
        places: 8,
        boot: BOOT + boot,
        members_most: 16,
        forget_after: Duration::from_secs(600),
        seed: 7 + u64::from(n),
    };
    Membership::new(config, Duration::ZERO).expect("it can be meant")
}

/// What `from` gossips to `to`.
fn gossip(from: Identity, to: Identity, about: &[Member<Identity>]) -> Vec<u8> {
    let mut payload = Vec::new();
    let header = Header {
        src: from,
        src_incarnation: 0,
        dst: to,
        message: Message::Gossip,
    };
    PostcardCodec
        .encode_header(&header, &mut payload)
        .expect("it fits");
    payload.extend((about.len() as u16).to_be_bytes());
    about.iter().for_each(|m| {
        PostcardCodec
            .encode_member(m, &mut payload)
            .expect("it fits")
    });
    wire::swim(FLEET, &payload)
}

fn orders<T: Clone>(of: &[T]) -> Vec<Vec<T>> {
    if of.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for k in 0..of.len() {
        let mut rest = of.to_vec();
        let first = rest.remove(k);
        all.extend(orders(&rest).into_iter().map(|mut order| {
            order.insert(0, first.clone());
            order
        }));
    }
    all
}

/// Guards that news in any order, each one or several times, end in the same view, where the later life wins, gone beats
/// there in one life, and a leave is never undone by what is older.
#[test]
fn news_in_any_order_end_in_the_same_view() {
    let (one, two) = (life(3, 1), life(3, 2));
    let left = |id| Identity {
        leaving: true,
        ..id
    };
    let news = |id, incarnation, state| Member::new(id, incarnation, state);
    let cases = [
        (
            vec![
                news(one, 0, State::Alive),
                news(one, 0, State::Suspect),
                news(one, 1, State::Alive),
                news(one, 1, State::Suspect),
                news(one, 2, State::Alive),
            ],
            (one, MemberState::Present),
        ),
        (
            vec![
                news(one, 0, State::Alive),
                news(one, 3, State::Suspect),
                news(one, 1, State::Down),
                news(two, 0, State::Alive),
                news(one, 9, State::Alive),
            ],
            (two, MemberState::Present),
        ),
        (
            vec![
                news(one, 0, State::Alive),
                news(one, 1, State::Suspect),
                news(left(one), 0, State::Down),
                news(one, 7, State::Alive),
                news(one, 7, State::Down),
            ],
            (left(one), MemberState::Left),
        ),
        (
            vec![
                news(one, 0, State::Alive),
                news(two, 0, State::Alive),
                news(two, 0, State::Suspect),
                news(two, 0, State::Down),
                news(left(one), 0, State::Down),
            ],
            (two, MemberState::Gone),
        ),
    ];
    for (news, (id, standing)) in cases {
        for order in orders(&news) {
            let mut me = member(0, 0);
            // First it is known at all: of one that was never there, nobody is told that it is gone.
            let known = news[0].clone();
            for told in std::iter::once(&known).chain(&order).chain(&order[..2]) {
                let datagram = gossip(life(1, 0), me.me(), std::slice::from_ref(told));
                me.datagram(Duration::from_secs(1), Place(1), &datagram)
                    .expect("it can be read");
            }
            let seen = me.view().get(&name(3)).expect("known");
            assert_eq!((seen.id, seen.standing), (id, standing), "after {order:?}");
        }
    }
}

#[test]
fn versions_go_up_by_one_and_every_change_is_told() {
    let mut me = member(0, 0);
    for n in 1..6 {
        let datagram = gossip(life(n, 0), me.me(), &[Member::alive(life(n + 1, 0))]);
        me.datagram(Duration::from_secs(1), Place(n), &datagram)
            .expect("it can be read");
    }
    let mut versions = Vec::new();
    while let Some(output) = me.output() {
        if let Output::Changed(change) = output {
            versions.push(change.version);
        }
    }
    assert_eq!(versions, (1..=7).collect::<Vec<u64>>());
    assert_eq!((me.view().version(), me.view().there()), (7, 7));
}

#[test]
fn what_is_not_meant_for_this_fleet_is_counted_and_dropped() {
    let mut me = member(0, 0);
    let good = gossip(life(1, 0), me.me(), &[]);
    let other_fleet = {
        let mut other = good.clone();
        other[2] = b'T';
        other
    };
    let other_version = [&[9], &good[1..]].concat();
    let mut flipped = good.clone();
    *flipped.last_mut().expect("bytes") ^= 1;
    let beyond = gossip(life(1, 0), me.me(), &[Member::alive(life(9, 0))]);
    let to_come = gossip(life(1, 1 << 40), me.me(), &[]);
    let long = vec![1; DATAGRAM_MOST + 1];
    for (datagram, place, why) in [
        (&other_fleet, 1, Dropped::Fleet),
        (&other_version, 1, Dropped::Version),
        (&flipped, 1, Dropped::Broken),
        (&long, 1, Dropped::Broken),
        (&Vec::new(), 1, Dropped::Broken),
        (&good, 2, Dropped::Impostor),
        (&beyond, 1, Dropped::Beyond),
        (&to_come, 1, Dropped::Beyond),
    ] {
        assert_eq!(
            me.datagram(Duration::ZERO, Place(place), datagram),
            Err(why)
        );
    }
    me.unknown_sender();
    let c = me.counters();
    let dropped = (
        c.other_fleet,
        c.other_version,
        c.broken,
        c.impostor,
        c.beyond,
        c.unknown_sender,
    );
    assert_eq!(dropped, (1, 1, 3, 1, 2, 1));
    assert_eq!(me.view().len(), 1, "nobody has become known");
    me.datagram(Duration::ZERO, Place(1), &good)
        .expect("it can be read");
    assert_eq!(me.view().len(), 2);
}

fn outputs(me: &mut Membership) -> Vec<Output> {
    std::iter::from_fn(|| me.output()).collect()
}

/// The later start has the name: the earlier one yields, says so, and is silent from then on.
#[test]
fn of_two_that_claim_a_name_the_later_one_has_it() {
    let mut earlier = member(0, 0);
    let later = Identity {
        place: Place(5),
        boot: BOOT + 60_000,
        ..earlier.me()
    };
    let datagram = gossip(life(1, 0), earlier.me(), &[Member::alive(later)]);
    earlier
        .datagram(Duration::from_secs(60), Place(1), &datagram)
        .expect("it can be read");
    assert!(outputs(&mut earlier).contains(&Output::Yielded(later)));
    assert_eq!((earlier.phase(), earlier.due()), (Phase::Yielded, None));
    let hello = wire::own(FLEET, &Own::Hello { from: life(1, 0) });
    earlier
        .datagram(Duration::from_secs(61), Place(1), &hello)
        .expect("it can be read");
    assert_eq!(outputs(&mut earlier), []);
}

/// A clock that was set back must not make a restart look like the earlier start: while it joins, it bids more.
#[test]
fn a_restart_with_its_clock_set_back_takes_its_name_all_the_same() {
    let mut back = member(0, 0);
    let before = Identity {
        boot: BOOT + 60_000,
        ..back.me()
    };
    let datagram = gossip(life(1, 0), back.me(), &[Member::alive(before)]);
    back.datagram(Duration::from_millis(100), Place(1), &datagram)
        .expect("it can be read");
    assert!(outputs(&mut back).contains(&Output::Outbid(before)));
    assert_eq!(
        (back.phase(), back.me().boot),
        (Phase::Member, before.boot + 1)
    );
    let claims = (2..9).map(|n| Identity {
        boot: BOOT + n * 60_000,
        ..back.me()
    });
    for claim in claims.collect::<Vec<_>>() {
        let datagram = gossip(life(1, 0), back.me(), &[Member::alive(claim)]);
        back.datagram(Duration::from_millis(200), Place(1), &datagram)
            .expect("it can be read");
    }
    assert_eq!(back.phase(), Phase::Yielded, "the bidding ends");
}

/// A million datagrams that nobody meant: cut, with bits turned, with their checksum made good again. Nothing panics, and
/// no more is kept than the configuration allows. The fuzz target does the same with what it makes up.
#[test]
fn a_million_mutated_datagrams_do_no_harm() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut me = member(0, 0);
    let about: Vec<Member<Identity>> = (2..7)
        .map(|n| {
            Member::new(
                life(n, 3),
                n,
                [State::Alive, State::Suspect, State::Down][n as usize % 3],
            )
        })
        .collect();
    let seeds = [
        gossip(life(1, 0), me.me(), &about),
        gossip(life(1, 0), me.me(), &about[..1]),
        wire::own(FLEET, &Own::Hello { from: life(1, 0) }),
        wire::own(
            FLEET,
            &Own::Checked {
                nonce: 3,
                from: life(1, 0),
                digest: 9,
            },
        ),
        wire::own(
            FLEET,
            &Own::Tell {
                from: life(1, 0),
                back: None,
                about: about.clone(),
            },
        ),
        wire::own(
            FLEET,
            &Own::Compare {
                from: life(1, 0),
                part: Default::default(),
                hashes: [7; 16],
            },
        ),
    ];
    let mut now = Duration::from_secs(1);
    for round in 0..1_000_000 {
        let mut datagram = seeds[rng.random_range(0..seeds.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..datagram.len());
            datagram[at] ^= 1 << rng.random_range(0..8);
        }
        if rng.random::<f64>() < 0.1 {
            datagram.truncate(rng.random_range(0..datagram.len()));
        }
        // A third get past the checksum.
        if round % 3 == 0 {
            wire::sign(FLEET, &mut datagram);
        }
        let _ = me.datagram(now, Place(1), &datagram);
        if round % 1000 == 0 {
            now += Duration::from_millis(100);
            if me.due().is_some_and(|due| due <= now) {
                me.timeout(now);
            }
        }
        while let Some(output) = me.output() {
            if let Output::Send { to, datagram } = output {
                assert!(to.0 < 8 && datagram.len() <= DATAGRAM_MOST);
            }
        }
        if me.phase() != Phase::Member {
            me = member(0, 0);
        }
        assert!(me.view().len() <= 17);
    }
    assert!(me.counters().broken > 0);
}
