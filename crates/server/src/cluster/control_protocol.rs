//! The requests and responses of the control socket. Operators' programs depend on the words in the
//! JSON; only this module maps these words to the names in the code.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tulipgap_consensus::{VoterId, VoterStatus};
use tulipgap_leases::{
    FencingToken, Incarnation, Lease, LeaseHolder, LeaseStatus, Name, RejectReason,
};
use tulipgap_membership::{MemberRecord, MemberUpdate, Metadata, Reachability};

/// An operator's command: one line of JSON.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub(crate) enum AdminRequest {
    /// Lists the members of the cluster.
    Members,
    /// Shows the leases of this process, and its voter.
    Own,
    /// Acquires the drain lease of this process's zone.
    Drain,
    /// Lists leases, by a linearizable read.
    Leases {
        /// The lease to list; `None` for all leases.
        lease: Option<String>,
    },
    /// Acquires a lease for this process.
    #[serde(rename = "take")]
    Acquire {
        /// The lease.
        lease: String,
        /// Its TTL in milliseconds.
        #[serde(rename = "term_ms")]
        ttl_ms: u64,
        /// Its capacity.
        #[serde(rename = "places")]
        capacity: u32,
    },
    /// Releases a lease of this process.
    Release {
        /// The lease.
        lease: String,
    },
    /// Revokes a grant.
    Revoke {
        /// The lease.
        lease: String,
        /// The fencing token of the grant.
        token: u64,
    },
    /// Revokes a grant, and grants the lease to a given process next.
    Transfer {
        /// The lease.
        lease: String,
        /// The fencing token of the grant.
        token: u64,
        /// The process.
        to: String,
    },
    /// Replaces a voter.
    #[serde(rename = "replace")]
    ReplaceVoter {
        /// The voter that is removed.
        old: String,
        /// The voter that is added.
        new: String,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdminError {
    /// The line is not a valid request.
    #[error(transparent)]
    InvalidRequest(#[from] serde_json::Error),
    /// The event loop did not respond.
    #[error("no answer")]
    NoResponse,
    /// The configuration names no voters.
    #[error("this cluster has no voters")]
    NoVoters,
    /// Too many commands wait for a leader.
    #[error("too many ask already")]
    TooManyPending,
    /// No leader has responded in time.
    #[error("no voter that leads has answered in {} s", timeout.as_secs())]
    NoLeaderResponse {
        /// How long the command has waited.
        timeout: Duration,
    },
    /// The configuration does not bound how many processes drain.
    #[error("the block cluster has no block drain")]
    NoDrainLease,
    /// The command would change nothing, or its values are outside their limits.
    #[error(transparent)]
    Rejected(#[from] RejectReason),
}

/// The result of a command.
pub(crate) type AdminResult = Result<AdminResponse, AdminError>;

/// The response to a command: one line of JSON.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum AdminResponse {
    /// The command was carried out.
    Done {
        /// Always true.
        done: bool,
    },
    /// The request was sent to the voters; the status of a voter shows whether it was carried out.
    Requested {
        /// Always true.
        #[serde(rename = "asked")]
        requested: bool,
    },
    /// The lease was requested.
    Acquiring {
        /// Always true.
        wanted: bool,
        /// The lease.
        lease: String,
    },
    /// The leases that were read.
    Leases {
        /// The leases, in the order of their names.
        leases: Vec<LeaseRow>,
    },
    /// The leases of this process, and its voter.
    Own(OwnStatus),
    /// The members of the cluster.
    Members(MemberList),
}

impl AdminResponse {
    /// The command was carried out.
    pub(crate) const DONE: AdminResponse = AdminResponse::Done { done: true };
    /// The request was sent to the voters.
    pub(crate) const REQUESTED: AdminResponse = AdminResponse::Requested { requested: true };

    /// The lease was requested.
    pub(crate) fn acquiring(lease: &str) -> Self {
        AdminResponse::Acquiring {
            wanted: true,
            lease: lease.into(),
        }
    }

    /// The leases that were read.
    pub(crate) fn leases(leases: &[(Name, Lease)]) -> Self {
        let leases = leases
            .iter()
            .map(|(name, lease)| LeaseRow::new(name, lease))
            .collect();
        AdminResponse::Leases { leases }
    }
}

/// A failed command.
#[derive(Serialize)]
struct ErrorResponse {
    /// The cause, in words for the operator.
    error: String,
}

/// The JSON of a result, with its keys in alphabetical order.
///
/// # Errors
/// If a number cannot be represented in JSON, which does not occur in these types.
pub(crate) fn to_json(result: &AdminResult) -> Result<Value, serde_json::Error> {
    match result {
        Ok(response) => serde_json::to_value(response),
        Err(error) => serde_json::to_value(ErrorResponse {
            error: error.to_string(),
        }),
    }
}

/// A lease in the voters' state.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseRow {
    /// The name of the lease.
    lease: String,
    /// The TTL in milliseconds.
    #[serde(rename = "term_ms")]
    ttl_ms: u64,
    #[serde(rename = "places")]
    capacity: u32,
    #[serde(rename = "held")]
    holders: Vec<HolderRow>,
    /// The processes that wait for a slot, in the order in which they are served.
    queue: Vec<String>,
}

/// A process that holds a lease.
#[derive(Debug, Serialize)]
struct HolderRow {
    #[serde(rename = "by")]
    process: String,
    #[serde(rename = "life")]
    incarnation: Incarnation,
    /// The fencing token of the grant.
    token: FencingToken,
    /// Whether the grant is revoked: it gets no further renewal.
    #[serde(rename = "ends")]
    revoked: bool,
}

impl LeaseRow {
    fn new(name: &Name, lease: &Lease) -> Self {
        LeaseRow {
            lease: name.to_string(),
            ttl_ms: lease.spec.ttl.as_millis() as u64,
            capacity: lease.spec.capacity,
            holders: lease.holders.iter().map(HolderRow::from).collect(),
            queue: lease
                .queue
                .iter()
                .map(|queued| queued.owner.name.to_string())
                .collect(),
        }
    }
}

impl From<&LeaseHolder> for HolderRow {
    fn from(holder: &LeaseHolder) -> Self {
        HolderRow {
            process: holder.owner.name.to_string(),
            incarnation: holder.owner.incarnation,
            token: holder.token,
            revoked: holder.revoked,
        }
    }
}

/// The leases of this process, and its voter.
#[derive(Debug, Serialize)]
pub(crate) struct OwnStatus {
    /// The name of this process.
    pub(crate) name: String,
    /// The leases that this process holds or requests.
    pub(crate) wanted: Vec<WantedLeaseRow>,
    /// The voter of this process, if it has one.
    pub(crate) voter: Option<VoterRow>,
    /// The number of frames that were dropped because their peer reads too slowly or too many
    /// streams are open.
    pub(crate) dropped_frames: usize,
}

/// A lease that this process holds or requests.
#[derive(Debug, Serialize)]
pub(crate) struct WantedLeaseRow {
    /// The name of the lease.
    lease: String,
    /// Whether the lease is held, and not only requested.
    #[serde(rename = "held")]
    is_active: bool,
    /// The fencing token, if the lease is held.
    #[serde(skip_serializing_if = "Option::is_none")]
    token: Option<FencingToken>,
    /// The number of owners that are served before this process, if the request is queued.
    #[serde(skip_serializing_if = "Option::is_none")]
    ahead: Option<u32>,
}

impl WantedLeaseRow {
    /// The row of a lease with that status.
    pub(crate) fn new(name: &Name, status: LeaseStatus) -> Self {
        let token = match status {
            LeaseStatus::Active {
                token,
                announced: true,
                ..
            } => Some(token),
            _ => None,
        };
        let ahead = match status {
            LeaseStatus::Queued { ahead } => Some(ahead),
            _ => None,
        };
        WantedLeaseRow {
            lease: name.to_string(),
            is_active: token.is_some(),
            token,
            ahead,
        }
    }
}

/// The voter of this process.
#[derive(Debug, Serialize)]
pub(crate) struct VoterRow {
    /// The phase, in the words of [`VoterPhase`](tulipgap_consensus::VoterPhase)'s `Display`.
    phase: String,
    /// The Raft term.
    term: u64,
    /// The leader, if it is known.
    leader: Option<String>,
    /// The index of the last entry that the voter applied.
    #[serde(rename = "applied")]
    applied_index: u64,
    /// The id of the voter, which identifies its folder.
    id: VoterId,
    /// The names of all voters, as of the last entry that the voter applied.
    voters: Vec<String>,
}

impl From<VoterStatus> for VoterRow {
    fn from(status: VoterStatus) -> Self {
        VoterRow {
            phase: status.phase.to_string(),
            term: status.term,
            leader: status.leader.as_deref().map(str::to_owned),
            applied_index: status.applied_index,
            id: status.id,
            voters: status
                .voters
                .values()
                .map(|name| name.to_string())
                .collect(),
        }
    }
}

/// The members of the cluster, as this process sees them.
#[derive(Debug, Serialize)]
pub(crate) struct MemberList {
    /// The members, with this process first.
    pub(crate) members: Vec<MemberRow>,
    /// See [`Membership::health_score`](tulipgap_membership::Membership::health_score).
    #[serde(rename = "badly")]
    pub(crate) health_score: u32,
    /// See [`Membership::ignored_updates`](tulipgap_membership::Membership::ignored_updates).
    #[serde(rename = "odd")]
    pub(crate) ignored_updates: u64,
}

/// A member of the cluster.
#[derive(Debug, Serialize)]
pub(crate) struct MemberRow {
    name: String,
    address: String,
    region: String,
    zone: String,
    /// A variant of [`MemberState`](tulipgap_membership::MemberState), in lower case.
    state: String,
    incarnation: tulipgap_membership::Incarnation,
    /// The member that declared this member suspect or dead.
    #[serde(rename = "by")]
    reported_by: Option<String>,
    /// The metadata that the member publishes.
    #[serde(rename = "facts")]
    metadata: Metadata,
    /// The members that this member cannot reach although others can.
    #[serde(rename = "unheard")]
    unreachable_peers: Vec<String>,
    /// How this process reaches the member: see [`reachability_word`].
    #[serde(rename = "reach")]
    reachability: &'static str,
    /// The observations of this process about the member; absent in the row of this process itself.
    #[serde(flatten)]
    observation: Option<Observation>,
}

/// The observations of this process about another member.
#[derive(Debug, Serialize)]
struct Observation {
    /// The members that suspect the observed member.
    suspected_by: Vec<String>,
    /// How long the observed member has had its state, in seconds.
    #[serde(rename = "for_s")]
    state_age_s: f64,
}

impl MemberRow {
    /// The row of this process.
    pub(crate) fn local(update: &MemberUpdate) -> Self {
        MemberRow::new(update, "itself", None)
    }

    /// The row of another member at `now`.
    pub(crate) fn remote(now: Duration, record: &MemberRecord) -> Self {
        let observation = Observation {
            suspected_by: record
                .suspected_by
                .iter()
                .map(|name| name.to_string())
                .collect(),
            state_age_s: now.saturating_sub(record.state_since).as_secs_f64(),
        };
        MemberRow::new(
            &record.update,
            reachability_word(record.reachability),
            Some(observation),
        )
    }

    fn new(
        update: &MemberUpdate,
        reachability: &'static str,
        observation: Option<Observation>,
    ) -> Self {
        MemberRow {
            name: update.node.name.to_string(),
            address: update.node.address.to_string(),
            region: update.node.region.to_string(),
            zone: update.node.zone.to_string(),
            state: format!("{:?}", update.state).to_lowercase(),
            incarnation: update.incarnation,
            reported_by: update.reported_by.as_deref().map(str::to_owned),
            metadata: Metadata::clone(&update.metadata),
            unreachable_peers: update
                .unreachable_peers
                .iter()
                .map(|name| name.to_string())
                .collect(),
            reachability,
            observation,
        }
    }
}

fn reachability_word(reachability: Reachability) -> &'static str {
    match reachability {
        Reachability::Reachable => "heard",
        Reachability::AsymmetricPartition => "oneway",
        Reachability::IndirectOnly => "through",
        Reachability::Unreachable => "nobody",
    }
}
