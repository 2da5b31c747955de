//! Parses the settings of a site from a JSON object. A site is a group of balancers with the same upstreams. The
//! simulator and the platform's configuration use the same form of the object.
//!
//! The result has two parts. One is the policy crate's [`Settings`], which identify classes, tenants, zones and
//! hardware kinds by number. The other is the names of these classes, tenants, zones and hardware kinds.
//!
//! Unknown keys are ignored. Missing keys have the values of [`Settings::default`] and, in a class, of
//! [`Class::default`](frostkeel_policy::Class::default). The only exception is `weight_kind`: without it, the weights
//! of endpoints are ignored ([`EndpointWeights::Off`](frostkeel_policy::EndpointWeights::Off)).

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
/// The names of the classes and tenants are in the order of [`Settings::classes`] and [`Settings::tenants`]. The id of
/// a zone or hardware kind is the position of its name.
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
