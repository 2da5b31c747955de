//! Checks and figures of membership, over every change of every view.
//!
//! They are counted as the history goes on, so that simulated days need not be kept.

use crate::experiment::Experiment;
use crate::history::{Process, What};
use frostkeel_membership::{MemberState, Name};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Part of the others that have to know before a death counts as known.
const KNOWN_BY: f64 = 0.99;
/// Breaches that are kept in words.
const SHOWN: usize = 20;

/// One process's view, as far as it has told.
#[derive(Default)]
struct Seen {
    version: u64,
    there: HashMap<Name, u64>,
    digest: u64,
}

/// A process that was ended.
struct Death {
    of: u32,
    name: Name,
    at: u64,
    /// It was asked to leave.
    asked: bool,
    /// Who lived then.
    others: Vec<u32>,
    /// By observer, when it knew.
    known: HashMap<u32, u64>,
}

#[derive(Default)]
struct Member {
    name: Option<Name>,
    /// The incarnation that it began with.
    life: u64,
    alive: bool,
    held: bool,
    /// It takes no part any more.
    out: bool,
}

/// How soon deaths were known, and what was wrongly taken for one.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Processes killed, and asked to leave.
    pub kills: usize,
    /// See `kills`.
    pub leaves: usize,
    /// Seconds until 99% of those that lived on knew that one was killed: median, 99th percentile and worst over all
    /// kills.
    pub known_p50_s: f64,
    /// See `known_p50_s`.
    pub known_p99_s: f64,
    /// See `known_p50_s`.
    pub known_worst_s: f64,
    /// The same of those that were asked to leave.
    pub left_worst_s: f64,
    /// Deaths that fewer than 99% ever knew.
    pub unknown: usize,
    /// Times that a process took a living one for gone ...
    pub false_gone: usize,
    /// ... and one that was stopped at the time.
    pub false_gone_held: usize,
    /// Times that one that had been asked to leave was taken for gone.
    pub left_as_gone: usize,
    /// Times that one was suspected by one view.
    pub suspected: usize,
    /// When all views became the same for the last time, in seconds; `None`: they are not.
    pub equal_since_s: Option<f64>,
    /// Views that are not the same as most, at the end.
    pub unequal: usize,
    /// In words, what some of these have that most have not, or have not that most have.
    pub differences: Vec<String>,
}

/// What of an experiment's expectations was missed, in words.
pub fn missed(experiment: &Experiment, figures: &Figures) -> Vec<String> {
    let (expect, mut missed) = (&experiment.expect, Vec::new());
    if let Some(within) = expect.known_s
        && (figures.known_worst_s > within || figures.unknown > 0)
    {
        missed.push(format!(
            "kills were known to 99% within {:.1} s of {within} expected, {} never",
            figures.known_worst_s, figures.unknown
        ));
    }
    if let Some(within) = expect.equal_s {
        let ends = experiment
            .faults
            .iter()
            .map(|fault| fault.ends(experiment.length).as_secs_f64());
        let last = ends.fold(0.0, f64::max);
        match figures.equal_since_s {
            Some(since) if since <= last + within => {}
            Some(since) => missed.push(format!(
                "views were equal {:.1} s after the last fault",
                since - last
            )),
            None => missed.push(format!("{} views are not like the others", figures.unequal)),
        }
    }
    if expect.none_taken_for_gone && figures.false_gone > 0 {
        missed.push(format!(
            "living ones were taken for gone {} times",
            figures.false_gone
        ));
    }
    if expect.none_stopped_taken_for_gone && figures.false_gone_held > 0 {
        missed.push(format!(
            "stopped ones were taken for gone {} times",
            figures.false_gone_held
        ));
    }
    missed
}

/// Follows a history; nothing is seen yet by default.
#[derive(Default)]
pub struct Presence {
    members: BTreeMap<u32, Member>,
    seen: BTreeMap<u32, Seen>,
    deaths: Vec<Death>,
    /// How many living members have which digest.
    digests: HashMap<u64, usize>,
    equal_since: Option<u64>,
    figures: Figures,
    broken: Vec<(u64, String)>,
}

fn seconds(at: u64) -> f64 {
    at as f64 / 1e6
}

fn digest(name: Name, incarnation: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (name, incarnation).hash(&mut hasher);
    hasher.finish()
}

impl Presence {
    /// Takes in what happened at a time, in microseconds.
    pub fn feed(&mut self, at: u64, what: &What) {
        match what {
            What::Balancer { balancer, became } => self.became(at, *balancer, *became),
            What::Saw {
                by,
                name,
                incarnation,
                standing,
                version,
            } => {
                self.saw(at, *by, *name, *incarnation, *standing, *version);
            }
            What::Yielded { by } => {
                self.uncount(*by);
                self.members.entry(*by).or_default().out = true;
            }
            _ => return,
        }
        let equal = self.digests.len() <= 1;
        self.equal_since = if equal {
            self.equal_since.or(Some(at))
        } else {
            None
        };
    }

    fn counted(&self, number: u32) -> bool {
        self.members
            .get(&number)
            .is_some_and(|member| member.alive && !member.out)
    }

    fn uncount(&mut self, number: u32) {
        if self.counted(number)
            && let Some(seen) = self.seen.get(&number)
            && let Some(count) = self.digests.get_mut(&seen.digest)
        {
            *count -= 1;
            if *count == 0 {
                self.digests.remove(&seen.digest);
            }
        }
    }

    fn count(&mut self, number: u32) {
        if self.counted(number)
            && let Some(seen) = self.seen.get(&number)
        {
            *self.digests.entry(seen.digest).or_default() += 1;
        }
    }

    fn became(&mut self, at: u64, number: u32, became: Process) {
        match became {
            Process::Killed | Process::Asked | Process::Crashed => {
                self.uncount(number);
                let member = self.members.entry(number).or_default();
                if std::mem::replace(&mut member.alive, false)
                    && let Some(name) = member.name
                {
                    let asked = became == Process::Asked;
                    let living = self
                        .members
                        .iter()
                        .filter(|(_, member)| member.alive && !member.out);
                    let others = living.map(|(number, _)| *number).collect();
                    self.deaths.push(Death {
                        of: number,
                        name,
                        at,
                        asked,
                        others,
                        known: HashMap::new(),
                    });
                }
            }
            Process::Held | Process::Released => {
                self.members.entry(number).or_default().held = became == Process::Held;
            }
            _ => {}
        }
    }

    fn saw(
        &mut self,
        at: u64,
        by: u32,
        name: Name,
        incarnation: u64,
        standing: MemberState,
        version: u64,
    ) {
        let begins = version == 1;
        if begins {
            self.uncount(by);
            self.seen.insert(by, Seen::default());
            let own = Member {
                name: Some(name),
                life: incarnation,
                alive: true,
                held: false,
                out: false,
            };
            self.members.insert(by, own);
        } else if !self.members.get(&by).is_some_and(|member| member.alive) {
            // Last words of one that has been ended.
            return;
        } else {
            self.uncount(by);
        }
        let seen = self.seen.entry(by).or_default();
        if version != seen.version + 1 {
            let text = format!(
                "b{by}: version {version} of its view came after {}",
                seen.version
            );
            self.broken.push((at, text));
        }
        seen.version = version;
        let before = seen.there.remove(&name);
        seen.digest ^= before.map_or(0, |incarnation| digest(name, incarnation));
        if standing.is_live() {
            seen.there.insert(name, incarnation);
            seen.digest ^= digest(name, incarnation);
        }
        self.count(by);
        match standing {
            MemberState::Suspect => self.figures.suspected += 1,
            MemberState::Alive => {}
            MemberState::Left | MemberState::Dead => {
                self.ended(at, by, name, incarnation, standing)
            }
        }
        // A later life tells of the end of the one before as well.
        if standing == MemberState::Alive && before.is_some_and(|before| before < incarnation) {
            self.known(at, by, name);
        }
    }

    fn known(&mut self, at: u64, by: u32, name: Name) -> Option<&Death> {
        let death = self
            .deaths
            .iter_mut()
            .rev()
            .find(|death| death.name == name && death.at <= at)?;
        death.known.entry(by).or_insert(at);
        Some(death)
    }

    fn ended(&mut self, at: u64, by: u32, name: Name, incarnation: u64, standing: MemberState) {
        // That an earlier life has ended is true.
        let of = |m: &&Member| m.name == Some(name) && m.life <= incarnation;
        let living = self.members.values().filter(of).find(|m| m.alive && !m.out);
        if let Some(member) = living {
            if member.held {
                self.figures.false_gone_held += 1;
            } else {
                self.figures.false_gone += 1;
                if self.broken.len() < SHOWN {
                    let text = format!(
                        "b{by} took {name} for {} at {:.3} s: it lived",
                        end_in_breach(standing),
                        seconds(at)
                    );
                    self.broken.push((at, text));
                }
            }
            return;
        }
        let asked = self.known(at, by, name).is_some_and(|death| death.asked);
        self.figures.left_as_gone += usize::from(asked && standing == MemberState::Dead);
    }

    fn differences(&self, most: u64) -> Vec<String> {
        let living = || {
            self.seen
                .iter()
                .filter(|(number, _)| self.counted(**number))
        };
        let Some((_, like)) = living().find(|(_, seen)| seen.digest == most) else {
            return Vec::new();
        };
        let mut said = Vec::new();
        for (number, seen) in living().filter(|(_, seen)| seen.digest != most) {
            let names: BTreeSet<Name> = seen
                .there
                .keys()
                .chain(like.there.keys())
                .copied()
                .collect();
            for name in names {
                let (has, most_have) = (seen.there.get(&name), like.there.get(&name));
                if has != most_have {
                    said.push(format!(
                        "b{number} has {name} as {has:?}, most have {most_have:?}"
                    ));
                }
            }
        }
        said.truncate(SHOWN);
        said
    }

    /// The figures, and in words what was wrong: a living process taken for gone, a version that did not go up by one.
    pub fn end(mut self) -> (Figures, Vec<(u64, String)>) {
        let mut figures = std::mem::take(&mut self.figures);
        let mut times: [Vec<f64>; 2] = Default::default();
        for death in &self.deaths {
            // Those that lived then and live on; those that end themselves need not know.
            let ended = |n: u32| {
                self.deaths
                    .iter()
                    .any(|other| other.of == n && other.at >= death.at)
            };
            let others: Vec<u32> = death
                .others
                .iter()
                .copied()
                .filter(|n| !ended(*n))
                .collect();
            let mut known: Vec<u64> = others
                .iter()
                .filter_map(|n| death.known.get(n).copied())
                .collect();
            known.sort_unstable();
            let needed = (KNOWN_BY * others.len() as f64).ceil() as usize;
            match known.get(needed.saturating_sub(1)) {
                Some(at) => times[usize::from(death.asked)].push(seconds(at - death.at)),
                None if others.is_empty() => {}
                None => figures.unknown += 1,
            }
        }
        times
            .iter_mut()
            .for_each(|times| times.sort_by(f64::total_cmp));
        figures.kills = self.deaths.iter().filter(|death| !death.asked).count();
        figures.leaves = self.deaths.len() - figures.kills;
        figures.known_p50_s = times[0].get(times[0].len() / 2).copied().unwrap_or(0.0);
        let p99 = (times[0].len() * 99).div_ceil(100).saturating_sub(1);
        figures.known_p99_s = times[0].get(p99).copied().unwrap_or(0.0);
        figures.known_worst_s = times[0].last().copied().unwrap_or(0.0);
        figures.left_worst_s = times[1].last().copied().unwrap_or(0.0);
        figures.equal_since_s = self.equal_since.map(seconds);
        let all: usize = self.digests.values().sum();
        let most = self.digests.iter().max_by_key(|(_, count)| **count);
        figures.unequal = all - most.map_or(0, |(_, count)| *count);
        if let Some((most, _)) = most {
            figures.differences = self.differences(*most);
        }
        (figures, self.broken)
    }
}

/// The word for the end of a member in the text of a breach.
fn end_in_breach(state: MemberState) -> &'static str {
    if state == MemberState::Left {
        "Left"
    } else {
        "Gone"
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn name(n: u32) -> Name {
        Name::new(&format!("b{n}")).expect("a name")
    }

    fn saw(by: u32, of: u32, incarnation: u64, standing: MemberState, version: u64) -> What {
        What::Saw {
            by,
            name: name(of),
            incarnation,
            standing,
            version,
        }
    }

    fn became(balancer: u32, became: Process) -> What {
        What::Balancer { balancer, became }
    }

    /// Three that all know each other, by 1 s; then what a case adds, with its times in seconds.
    fn judged(then: Vec<(u64, What)>) -> (Figures, usize) {
        let mut presence = Presence::default();
        for by in 0..3 {
            for (version, of) in (1..).zip([by, (by + 1) % 3, (by + 2) % 3]) {
                presence.feed(1_000_000, &saw(by, of, 5, MemberState::Alive, version));
            }
        }
        then.into_iter()
            .for_each(|(at, what)| presence.feed(at * 1_000_000, &what));
        let (figures, broken) = presence.end();
        (figures, broken.len())
    }

    #[test]
    fn a_death_counts_from_the_kill_until_all_that_live_on_know() {
        let (figures, broken) = judged(vec![
            (10, became(2, Process::Killed)),
            (13, saw(0, 2, 5, MemberState::Dead, 4)),
            (15, saw(1, 2, 5, MemberState::Dead, 4)),
        ]);
        assert_eq!(
            (
                figures.kills,
                figures.known_worst_s,
                figures.unknown,
                broken
            ),
            (1, 5.0, 0, 0)
        );
        assert_eq!((figures.equal_since_s, figures.unequal), (Some(15.0), 0));
    }

    #[test]
    fn what_is_wrong_is_seen() {
        let living = judged(vec![(10, saw(0, 2, 5, MemberState::Dead, 4))]);
        assert_eq!((living.0.false_gone, living.0.unequal, living.1), (1, 1, 1));
        assert_eq!(living.0.equal_since_s, None);
        let held = judged(vec![
            (9, became(2, Process::Held)),
            (10, saw(0, 2, 5, MemberState::Dead, 4)),
        ]);
        assert_eq!((held.0.false_gone, held.0.false_gone_held), (0, 1));
        let skipped = judged(vec![(10, saw(0, 2, 5, MemberState::Suspect, 6))]);
        assert_eq!((skipped.0.suspected, skipped.1), (1, 1));
        let unknown = judged(vec![
            (10, became(2, Process::Killed)),
            (13, saw(0, 2, 5, MemberState::Dead, 4)),
        ]);
        assert_eq!((unknown.0.kills, unknown.0.unknown), (1, 1));
        let leave = judged(vec![
            (10, became(2, Process::Asked)),
            (13, saw(0, 2, 5, MemberState::Dead, 4)),
        ]);
        assert_eq!((leave.0.leaves, leave.0.left_as_gone), (1, 1));
    }
}
