//! What a dictionary tells of handlers and tenants, as far as a summary needs it.

use serde::{Deserialize, Serialize};

use crate::Micros;

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandlerName {
    pub name: String,
    /// An answer within this time (us) is worth the full value; 0 where it is not known.
    #[serde(default)]
    pub response_target: Micros,
    /// The response target grows by this multiple of a req's hint, up to the client timeout.
    #[serde(default)]
    pub target_stretch: f64,
    #[serde(default)]
    pub client_timeout: Micros,
    #[serde(default)]
    pub value: f64,
    /// The part of the value left when a call was skipped.
    #[serde(default)]
    pub skip_value: f64,
}

impl HandlerName {
    /// The response target of a req of that hint.
    pub fn target(&self, hint: Option<Micros>) -> Micros {
        let stretch = self.target_stretch * hint.unwrap_or(0) as f64;
        let target = self.response_target.saturating_add(stretch as Micros);
        if self.client_timeout > 0 { target.min(self.client_timeout) } else { target }
    }
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TenantName {
    pub name: String,
}
