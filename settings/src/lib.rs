//! A site's settings: the JSON object that the simulator and the platform's configuration share, turned into the policy
//! crate's [`Settings`], with the names for its numbers.
//!
//! Unknown keys are ignored. Missing keys take the values of [`Settings::default`], except that without `weight_kind`
//! the endpoints' weights have no meaning ([`EndpointWeights::Off`](frostkeel_policy::EndpointWeights::Off)).

mod convert;
mod document;
mod error;

pub use convert::{duration_from_ms, parse_load_field};
pub use error::SettingsParseError;

use frostkeel_policy::Settings;

/// A parsed settings object.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The policy's settings.
    pub settings: Settings,
    /// The names for the numbers in them.
    pub names: Names,
}

/// Names by position: those of classes and tenants as in [`Settings`], those of zones and kinds by their ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The classes of requests.
    pub classes: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of upstreams.
    pub kinds: Vec<String>,
}

/// Parses the text of a settings object.
pub fn parse(text: &str) -> Result<Site, SettingsParseError> {
    let document: document::SiteDocument = serde_json::from_str(text)?;
    let settings = convert::settings(&document)?;
    Ok(Site {
        settings,
        names: convert::names(document),
    })
}
