//! The dictionary of a file: the names that the indices in its records refer to.

use serde::{Deserialize, Serialize};

use crate::{Micros, TraceError};

/// Maximum number of entries of each kind in a dictionary.
pub(crate) const MAX_NAMES: usize = 100_000;

/// Servers, handlers and tenants of a file. Records refer to entries by their positions in these
/// lists.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Dictionary {
    /// Names of servers.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Handlers, with the parameters that a summary needs.
    #[serde(default)]
    pub handlers: Vec<HandlerInfo>,
    /// Tenants.
    #[serde(default)]
    pub tenants: Vec<TenantInfo>,
}

impl Dictionary {
    /// The name of a handler; `handler-N` if the dictionary has no entry for it.
    pub fn handler(&self, index: u32) -> String {
        self.handlers
            .get(index as usize)
            .map_or_else(|| format!("handler-{index}"), |info| info.name.clone())
    }

    /// The name of a tenant; `tenant-N` if the dictionary has no entry for it.
    pub fn tenant(&self, index: u32) -> String {
        self.tenants
            .get(index as usize)
            .map_or_else(|| format!("tenant-{index}"), |info| info.name.clone())
    }

    /// The name of a server; `server-N` if the dictionary has no entry for it.
    pub fn server(&self, index: u32) -> String {
        self.servers
            .get(index as usize)
            .cloned()
            .unwrap_or_else(|| format!("server-{index}"))
    }

    /// Appends the entries of a later frame of the same file.
    ///
    /// # Errors
    /// [`TraceError::LimitExceeded`] if the dictionary then has more entries than it may have.
    pub(crate) fn extend(&mut self, more: Dictionary) -> Result<(), TraceError> {
        self.servers.extend(more.servers);
        self.handlers.extend(more.handlers);
        self.tenants.extend(more.tenants);
        let longest = self
            .servers
            .len()
            .max(self.handlers.len())
            .max(self.tenants.len());
        if longest > MAX_NAMES {
            return Err(TraceError::LimitExceeded {
                quantity: "names",
                value: longest as u64,
            });
        }
        Ok(())
    }
}

/// A handler in the dictionary of a file. Times are in microseconds; an unknown value is 0.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandlerInfo {
    /// The name of the handler.
    pub name: String,
    /// The latency objective: an answer within this time counts with the full priority weight.
    #[serde(default, rename = "response_target")]
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of a request's estimated work, up to the client
    /// timeout.
    #[serde(default, rename = "target_stretch")]
    pub objective_stretch: f64,
    /// The client timeout.
    #[serde(default)]
    pub client_timeout: Micros,
    /// The priority weight of a completed request.
    #[serde(default, rename = "value")]
    pub priority_weight: f64,
    /// The fraction of the priority weight that is left when a call was skipped.
    #[serde(default, rename = "skip_value")]
    pub degraded_weight: f64,
}

impl HandlerInfo {
    /// The latency objective of a request with this estimated work.
    pub fn objective(&self, estimated_work: Option<Micros>) -> Micros {
        let stretch = self.objective_stretch * estimated_work.unwrap_or(0) as f64;
        let objective = self.latency_objective.saturating_add(stretch as Micros);
        if self.client_timeout > 0 {
            objective.min(self.client_timeout)
        } else {
            objective
        }
    }
}

/// A tenant in the dictionary of a file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TenantInfo {
    /// The name of the tenant.
    pub name: String,
}
