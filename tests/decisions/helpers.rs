//! Helpers that several tests share.

use crate::common::{SimulatedHost, config};
use tulipgap::{Action, Dependency, Reason};

/// A host whose requests make no calls, so that only the cores limit it.
pub(crate) fn host_without_dependency() -> SimulatedHost {
    let mut config = config();
    config.dependency = Dependency::None;
    config.handlers[0].calls_dependency = false;
    SimulatedHost::new(config, 1)
}

/// For each rejection among the last actions, whether the caller should try another server.
pub(crate) fn rejections(host: &SimulatedHost) -> Vec<bool> {
    let retry_other_server = |action: &Action| match action {
        Action::Reject {
            retry_other_server, ..
        } => Some(*retry_other_server),
        _ => None,
    };
    host.last_actions
        .iter()
        .filter_map(retry_other_server)
        .collect()
}

/// The reasons of the rejections and failures among the last actions.
pub(crate) fn reasons(host: &SimulatedHost) -> Vec<Reason> {
    let reason = |action: &Action| match action {
        Action::Reject { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    };
    host.last_actions.iter().filter_map(reason).collect()
}
