//! A balancer's page with its view of the members.

use bytes::Bytes;
use frostkeel_registry::client::{ClientError, call};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// What a balancer sees.
#[derive(Deserialize)]
pub struct View {
    /// The balancer's name.
    pub name: String,
    /// The name of its fleet.
    pub fleet: String,
    /// How far it has joined.
    pub phase: String,
    /// The version of its view.
    pub version: u64,
    /// Equal for equal views.
    pub digest: String,
    /// How many members it sees as present.
    #[serde(rename = "there")]
    pub present_count: usize,
    /// The members.
    pub members: Vec<Member>,
}

impl View {
    /// Whether the balancer is a member itself, so that its view should equal the others'.
    pub fn has_joined(&self) -> bool {
        self.phase == "member"
    }
}

/// A member as a balancer sees it.
#[derive(Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its incarnation: when its process started.
    pub incarnation: u64,
    /// How often it has rejoined in this incarnation.
    #[serde(rename = "turn")]
    pub rejoin_count: u16,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: String,
    /// For how long it has had this state.
    pub since_s: f64,
    /// Who reported the state; none if the balancer itself did.
    #[serde(rename = "from")]
    pub reported_by: Option<String>,
}

impl Member {
    /// Whether it counts as present; suspects do.
    pub fn is_present(&self) -> bool {
        matches!(self.state.as_str(), "present" | "suspect")
    }

    /// Its incarnation and how often it has rejoined in it.
    pub fn full_incarnation(&self) -> String {
        format!("{}.{}", self.incarnation, self.rejoin_count)
    }
}

/// Why there is no view of a balancer.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The page can't be fetched.
    #[error(transparent)]
    Fetch(#[from] ClientError),
    /// The balancer responds with an error.
    #[error("{address}: answered {status}")]
    Status {
        /// The page's address.
        address: SocketAddr,
        /// The status code.
        status: u16,
    },
    /// The page can't be parsed.
    #[error("the page cannot be read: {0}")]
    Parse(#[from] serde_json::Error),
}

/// A page as it was fetched.
pub struct FetchedPage {
    /// Its text, if there is one.
    pub text: Option<Bytes>,
    /// The view in it.
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
