//! The tables that `frostkeel members` prints: one view, or a comparison of several.

use super::page::{FetchedPage, View, ViewError};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of balancers that are named for one observation of a member.
const MAX_NAMED_BALANCERS: usize = 8;

/// For one member: the names of the balancers, grouped by what they see. The key is the observation as text, e.g.
/// `not present`.
type BalancersByObservation<'a> = BTreeMap<String, Vec<&'a str>>;

/// Returns the table of one view, or the error as a line.
pub fn single_view(view: &Result<View, ViewError>) -> String {
    let view = match view {
        Ok(view) => view,
        Err(error) => return format!("{error}\n"),
    };
    let mut text = format!(
        "{} of fleet {} ({}): view version {}, {} members present, digest {}\n",
        view.name, view.fleet, view.phase, view.version, view.present_count, view.digest
    );
    text += &format!(
        "{:16} {:8} {:>10} {:>16} from\n",
        "name", "standing", "for s", "life"
    );
    for member in &view.members {
        let reported_by = member.reported_by.as_deref().unwrap_or("itself");
        text += &format!(
            "{:16} {:8} {:>10.1} {:>16} {reported_by}\n",
            member.name,
            member.state,
            member.since_s,
            member.full_incarnation()
        );
    }
    text
}

/// Returns a line for each balancer, then the errors, then for each member that joined balancers see differently a line
/// for each observation with the balancers that made it.
pub fn comparison(pages: &[FetchedPage]) -> String {
    let views: Vec<&View> = pages
        .iter()
        .filter_map(|page| page.view.as_ref().ok())
        .collect();
    let mut text = balancer_lines(&views);
    for error in pages.iter().filter_map(|page| page.view.as_ref().err()) {
        text += &format!("{error}\n");
    }
    let differences = differences(&views);
    if differences.is_empty() {
        return text + "all views are equal\n";
    }
    for (member, observations) in &differences {
        for (observation, balancers) in observations {
            text += &difference_line(member, observation, balancers);
        }
    }
    text
}

fn balancer_lines(views: &[&View]) -> String {
    let mut text = format!(
        "{:16} {:8} {:>8} {:>6} digest\n",
        "view of", "phase", "version", "there"
    );
    for view in views {
        text += &format!(
            "{:16} {:8} {:>8} {:>6} {}\n",
            view.name, view.phase, view.version, view.present_count, view.digest
        );
    }
    text
}

/// Returns the members that the joined balancers see differently, each with its observations.
fn differences<'a>(views: &[&'a View]) -> BTreeMap<&'a str, BalancersByObservation<'a>> {
    let joined: Vec<&View> = views
        .iter()
        .copied()
        .filter(|view| view.has_joined())
        .collect();
    let members = joined.iter().flat_map(|view| &view.members);
    let names: BTreeSet<&str> = members.map(|member| member.name.as_str()).collect();
    let mut differences = BTreeMap::new();
    for name in names {
        let mut observations = BalancersByObservation::new();
        for view in &joined {
            observations
                .entry(observation(view, name))
                .or_default()
                .push(&view.name);
        }
        if observations.len() > 1 {
            differences.insert(name, observations);
        }
    }
    differences
}

/// Returns a text that says whether a member is present in a view, with its incarnation if it is.
fn observation(view: &View, name: &str) -> String {
    match view.members.iter().find(|member| member.name == name) {
        Some(member) if member.is_present() => {
            format!("present, life {}", member.full_incarnation())
        }
        _ => "not present".to_owned(),
    }
}

fn difference_line(member: &str, observation: &str, balancers: &[&str]) -> String {
    let named = &balancers[..balancers.len().min(MAX_NAMED_BALANCERS)];
    let unnamed = match balancers.len() - named.len() {
        0 => String::new(),
        count => format!(" and {count} more"),
    };
    format!(
        "{member}: {observation}, in the view of {}{unnamed}\n",
        named.join(" ")
    )
}
