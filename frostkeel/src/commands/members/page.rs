//! A balancer's membership page, which has the balancer's view of the members of its fleet.

use bytes::Bytes;
use frostkeel_registry::client::{ClientError, call};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// The members of a fleet, as one balancer sees them.
#[derive(Deserialize)]
pub struct View {
    /// The name of the balancer that has this view.
    pub name: String,
    /// The name of the fleet that the balancer belongs to.
    pub fleet: String,
    /// The phase of the balancer's own membership: `member`, `left`, or `yielded` if a later incarnation has
    /// claimed its name.
    pub phase: String,
    /// The number of changes of the view since the balancer started.
    pub version: u64,
    /// The digest of the members that are present. It is equal for equal views.
    pub digest: String,
    /// The number of members that the balancer sees as present.
    #[serde(rename = "there")]
    pub present_count: usize,
    /// The members in the view. They include members that are no longer present.
    pub members: Vec<Member>,
}

impl View {
    /// Returns whether the balancer has joined its fleet. The views of all that have joined should be equal.
    pub fn has_joined(&self) -> bool {
        self.phase == "member"
    }
}

/// A member as a balancer sees it.
#[derive(Deserialize)]
pub struct Member {
    /// The name of the balancer that is the member.
    pub name: String,
    /// The incarnation of the member, given by the start time of its process.
    pub incarnation: u64,
    /// How often the member has rejoined the fleet in this incarnation.
    #[serde(rename = "turn")]
    pub rejoin_count: u16,
    /// The state of the member, e.g. `present`, `suspect`, `left` or `gone`.
    #[serde(rename = "standing")]
    pub state: String,
    /// The time since the balancer recorded the state, in seconds.
    pub since_s: f64,
    /// The member whose datagram reported the state. `None` if the balancer detected it itself.
    #[serde(rename = "from")]
    pub reported_by: Option<String>,
}

impl Member {
    /// Returns whether the member counts as present. A suspected member does.
    pub fn is_present(&self) -> bool {
        matches!(self.state.as_str(), "present" | "suspect")
    }

    /// Returns the incarnation and the number of rejoins in it, separated by a dot.
    pub fn full_incarnation(&self) -> String {
        format!("{}.{}", self.incarnation, self.rejoin_count)
    }
}

/// An error that prevents the view of a balancer from being read.
#[derive(Debug, Error)]
pub enum ViewError {
    /// A request for the page failed before its response was complete.
    #[error(transparent)]
    Fetch(#[from] ClientError),
    /// The balancer responded with a status other than 200.
    #[error("{address}: expected status 200 for the membership page, got {status}")]
    Status {
        /// The address from which the page was requested.
        address: SocketAddr,
        /// The status code of the response.
        status: u16,
    },
    /// The page is not valid JSON, or lacks a field.
    #[error("cannot parse the membership page: {0}")]
    Parse(#[from] serde_json::Error),
}

/// The result of fetching a page.
pub struct FetchedPage {
    /// The body of the page. `None` if the page could not be fetched.
    pub text: Option<Bytes>,
    /// The view that was parsed from the body, or the error.
    pub view: Result<View, ViewError>,
}

/// Fetches and parses the page at an address.
pub async fn fetch(address: SocketAddr) -> FetchedPage {
    match fetch_text(address).await {
        Ok(text) => {
            let view = serde_json::from_slice(&text).map_err(ViewError::Parse);
            FetchedPage {
                text: Some(text),
                view,
            }
        }
        Err(error) => FetchedPage {
            text: None,
            view: Err(error),
        },
    }
}

async fn fetch_text(address: SocketAddr) -> Result<Bytes, ViewError> {
    let response = call(address, Method::GET, "/members", String::new()).await?;
    if response.status != StatusCode::OK {
        return Err(ViewError::Status {
            address,
            status: response.status,
        });
    }
    Ok(response.body)
}
