//! Parses the lines of a balancer's log that concern membership.

use crate::history::EventKind;
use crate::processes::log_field;
use frostkeel_membership::{MemberState, Name};
use std::net::SocketAddr;

/// The end of the log target of the membership driver, whatever the program is called.
const TARGET_END: &str = "::members: ";

/// A line of the log of a balancer's membership driver.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberLogLine {
    /// A change that belongs in the history.
    Event(EventKind),
    /// Where the balancer is reached by its peers, and where it shows its view.
    Serving {
        /// The address for datagrams.
        peers: SocketAddr,
        /// The address of its members page.
        page: Option<String>,
    },
}

/// Parses a line of the log of a balancer; `None` for what is not about membership.
pub fn parse_member_log(balancer: u32, line: &str) -> Option<MemberLogLine> {
    let (_, message) = line.split_once(TARGET_END)?;
    if message.starts_with("yielded") {
        return Some(MemberLogLine::Event(EventKind::NameYielded { balancer }));
    }
    if let Some(change) = parse_view_change(balancer, message) {
        return Some(MemberLogLine::Event(change));
    }
    let peers = log_field(message, "peers")?.parse().ok()?;
    let page = log_field(message, "page").map(str::to_owned);
    Some(MemberLogLine::Serving { peers, page })
}

/// A change of a balancer's view.
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
    // A member that refutes its failure retains its start time and increments its turn: both
    // together are its incarnation.
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
