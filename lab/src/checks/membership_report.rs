//! The report of a membership checker at the end of a history.

use super::membership_checks::{Departure, MembershipChecker, MembershipViolation, seconds};
use super::membership_figures::MembershipFigures;
use frostkeel_membership::Name;
use std::collections::BTreeSet;

/// The fraction of the surviving members that must know of a departure before it counts as
/// detected.
const DETECTED_BY_FRACTION: f64 = 0.99;
/// The maximum number of differences between views that are described.
const MAX_DESCRIBED_DIFFERENCES: usize = 20;

/// The figures and violations of membership in a complete history.
#[derive(Clone, Debug, Default)]
pub struct MembershipReport {
    /// Times until departures were detected, and counts of false detections.
    pub figures: MembershipFigures,
    /// Violations in the order of time; false detections are described only up to a limit.
    pub violations: Vec<MembershipViolation>,
}

/// Whether and when a departure was detected.
enum Detection {
    /// 99% of the surviving members had detected the departure `after_s` seconds after it.
    Known { after_s: f64 },
    /// No member survived that could detect the departure.
    NoWitness,
    /// Fewer than 99% of the surviving members ever detected the departure.
    Unknown,
}

impl MembershipChecker {
    /// Computes the figures, and returns them with the violations.
    pub fn finish(mut self) -> MembershipReport {
        let mut figures = std::mem::take(&mut self.figures);
        let mut kill_times_s = Vec::new();
        let mut leave_times_s = Vec::new();
        for departure in &self.departures {
            let times = if departure.is_graceful {
                &mut leave_times_s
            } else {
                &mut kill_times_s
            };
            match self.detection(departure) {
                Detection::Known { after_s } => times.push(after_s),
                Detection::NoWitness => {}
                Detection::Unknown => figures.undetected_count += 1,
            }
        }
        kill_times_s.sort_by(f64::total_cmp);
        leave_times_s.sort_by(f64::total_cmp);
        figures.kill_count = self
            .departures
            .iter()
            .filter(|departure| !departure.is_graceful)
            .count();
        figures.leave_count = self.departures.len() - figures.kill_count;
        let p99 = (kill_times_s.len() * 99).div_ceil(100).saturating_sub(1);
        figures.detection_p50_s = kill_times_s
            .get(kill_times_s.len() / 2)
            .copied()
            .unwrap_or(0.0);
        figures.detection_p99_s = kill_times_s.get(p99).copied().unwrap_or(0.0);
        figures.detection_max_s = kill_times_s.last().copied().unwrap_or(0.0);
        figures.leave_detection_max_s = leave_times_s.last().copied().unwrap_or(0.0);
        figures.converged_since_s = self.converged_since_us.map(seconds);
        let views: usize = self.digests.values().sum();
        let most_common = self.digests.iter().max_by_key(|(_, count)| **count);
        figures.divergent_view_count = views - most_common.map_or(0, |(_, count)| *count);
        if let Some((digest, _)) = most_common {
            figures.differences = self.differences(*digest);
        }
        MembershipReport {
            figures,
            violations: self.violations,
        }
    }

    /// Returns when 99% of the surviving members had detected a departure. Members that depart
    /// later or at the same time need not detect it.
    fn detection(&self, departure: &Departure) -> Detection {
        let departs_later = |number: u32| {
            self.departures
                .iter()
                .any(|other| other.balancer == number && other.at_us >= departure.at_us)
        };
        let survivors: Vec<u32> = departure
            .witnesses
            .iter()
            .copied()
            .filter(|number| !departs_later(*number))
            .collect();
        let mut known: Vec<u64> = survivors
            .iter()
            .filter_map(|number| departure.known_at_us.get(number).copied())
            .collect();
        known.sort_unstable();
        let needed = (DETECTED_BY_FRACTION * survivors.len() as f64).ceil() as usize;
        match known.get(needed.saturating_sub(1)) {
            Some(at_us) => Detection::Known {
                after_s: seconds(at_us - departure.at_us),
            },
            None if survivors.is_empty() => Detection::NoWitness,
            None => Detection::Unknown,
        }
    }

    /// Describes how views differ from a view with the most common digest.
    fn differences(&self, most_common: u64) -> Vec<String> {
        let live = || {
            self.views
                .iter()
                .filter(|(number, _)| self.is_active(**number))
        };
        let Some((_, reference)) = live().find(|(_, view)| view.digest == most_common) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (number, view) in live().filter(|(_, view)| view.digest != most_common) {
            let names: BTreeSet<Name> = view
                .members
                .keys()
                .chain(reference.members.keys())
                .copied()
                .collect();
            for name in names {
                let (has, most_have) = (view.members.get(&name), reference.members.get(&name));
                if has != most_have {
                    found.push(format!(
                        "b{number} has {name} at incarnation {has:?}, most have {most_have:?}"
                    ));
                }
            }
        }
        found.truncate(MAX_DESCRIBED_DIFFERENCES);
        found
    }
}
