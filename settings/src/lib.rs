//! Parses the settings of a site, a group of balancers with the same upstreams, from the JSON object that the simulator
//! and the platform's configuration share. The result has two parts: the policy crate's [`Settings`], and the names of
//! the classes, tenants, zones and hardware kinds, which the policy crate identifies by number.
//!
//! Unknown keys are ignored. Missing keys have the values of [`Settings::default`], except that without `weight_kind`
//! the weights of endpoints are ignored ([`EndpointWeights::Off`](frostkeel_policy::EndpointWeights::Off)).

mod convert;
mod document;
mod error;

pub use convert::{duration_from_ms, parse_load_field};
pub use error::SettingsParseError;

use frostkeel_policy::Settings;

/// A parsed settings object.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The settings in the form that [`Balancer::new`](frostkeel_policy::Balancer::new) takes.
    pub settings: Settings,
    /// The names of the classes, tenants, zones and hardware kinds, which the policy crate identifies by number.
    pub names: Names,
}

/// The names of classes, tenants, zones and hardware kinds.
///
/// The names of the classes and tenants are in the order of [`Settings::classes`] and [`Settings::tenants`]. The
/// position of the name of a zone or hardware kind is its id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The names of the classes of requests. A class without a name has the empty string.
    pub classes: Vec<String>,
    /// The names of the tenants. A tenant without a name has the empty string.
    pub tenants: Vec<String>,
    /// The names of the zones. A zone whose id is not a position in this list has no name.
    pub zones: Vec<String>,
    /// The names of the hardware kinds of upstreams. A kind whose id is not a position in this list has no name.
    pub hardware_kinds: Vec<String>,
}

/// Parses the JSON text of a settings object.
///
/// Does not check the ranges of the values; [`Settings::check`] does.
pub fn parse(text: &str) -> Result<Site, SettingsParseError> {
    let document: document::SiteDocument = serde_json::from_str(text)?;
    let settings = convert::settings(&document)?;
    Ok(Site {
        settings,
        names: convert::names(document),
    })
}
