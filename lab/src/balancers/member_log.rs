//! Parses the lines of a balancer's log that its membership driver writes.

use crate::history::EventKind;
use crate::processes::log_field;
use frostkeel_membership::{MemberState, Name};
use std::net::SocketAddr;

/// The end of the log target of the membership driver; the name of the program precedes it.
const LOG_TARGET_SUFFIX: &str = "::members: ";

/// A line of the log of a balancer's membership driver.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberLogLine {
    /// An event for the history: a changed view, or a name yielded to another process.
    Event(EventKind),
    /// The addresses of a balancer whose membership has started.
    Serving {
        /// The address at which the balancer receives datagrams from its peers.
        peer_address: SocketAddr,
        /// The address of the balancer's members page; `None` if the line names none.
        page: Option<String>,
    },
}

/// Parses a line of the log of a balancer. Returns `None` if the line does not concern membership
/// or cannot be parsed.
pub fn parse_member_log(balancer: u32, line: &str) -> Option<MemberLogLine> {
    let (_, message) = line.split_once(LOG_TARGET_SUFFIX)?;
    if message.starts_with("yielded") {
        return Some(MemberLogLine::Event(EventKind::NameYielded { balancer }));
    }
    if let Some(change) = parse_view_change(balancer, message) {
        return Some(MemberLogLine::Event(change));
    }
    let peer_address = log_field(message, "peers")?.parse().ok()?;
    let page = log_field(message, "page").map(str::to_owned);
    Some(MemberLogLine::Serving { peer_address, page })
}

/// Parses a change of the observer's view of one member; returns `None` if the message has another
/// form.
fn parse_view_change(observer: u32, message: &str) -> Option<EventKind> {
    let number = |field| log_field(message, field).and_then(|n| n.parse::<u64>().ok());
    let state = match log_field(message, "standing")? {
        "present" => MemberState::Alive,
        "suspect" => MemberState::Suspect,
        "left" => MemberState::Left,
        "gone" => MemberState::Dead,
        _ => return None,
    };
    let name = Name::new(log_field(message, "name")?).ok()?;
    // In the log, `incarnation` is the start time of the member, and `turn` is the number of times
    // that it has rejoined because others had declared it dead. The history contains their sum.
    let incarnation = number("incarnation")? + number("turn")?;
    let version = number("version")?;
    Some(EventKind::ViewChanged {
        observer,
        name,
        incarnation,
        state,
        version,
    })
}
