//! Parses the settings of a site, a group of balancers with the same upstreams, from the JSON object that the simulator
//! and the platform's configuration share. The result is the policy crate's [`Settings`], which know classes,
//! tenants, zones and kinds by number, and the names for these numbers.
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
    /// The names of the classes, tenants, zones and kinds, which the settings know by number.
    pub names: Names,
}

/// The names of classes, tenants, zones and kinds.
///
/// The position of a class or tenant is that in [`Settings`]; the position of a zone or kind is its id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The names of the classes of requests. A class without a name has the empty string.
    pub classes: Vec<String>,
    /// The names of the tenants. A tenant without a name has the empty string.
    pub tenants: Vec<String>,
    /// The names of the zones; may be fewer than the zone ids in use.
    pub zones: Vec<String>,
    /// The names of the hardware kinds of upstreams; may be fewer than the kind ids in use.
    pub hardware_kinds: Vec<String>,
}

/// Parses the JSON text of a settings object.
///
/// The ranges of the values are not checked here, but by [`Settings::check`].
pub fn parse(text: &str) -> Result<Site, SettingsParseError> {
    let document: document::SiteDocument = serde_json::from_str(text)?;
    let settings = convert::settings(&document)?;
    Ok(Site {
        settings,
        names: convert::names(document),
    })
}
