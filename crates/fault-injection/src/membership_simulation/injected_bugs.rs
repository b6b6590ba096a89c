//! Bugs that are injected to show that the checks can fail.

use std::time::Duration;

use tulipgap_membership::{Message, MessageBody};

use crate::plan::MemberIndex;

/// From then on the member that [`MembershipBug::MuteMember`] is about sends nothing.
const MUTE_FROM: Duration = Duration::from_secs(10);
/// The member that [`MembershipBug::MuteMember`] is about.
const MUTE_MEMBER: MemberIndex = 0;

/// A bug that is injected to show that a check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipBug {
    /// The first member sends nothing, though its links work.
    MuteMember,
    /// A dead member's pings are answered in its place.
    DeadMemberAnswers,
    /// No member forwards what it knows of others.
    NoDissemination,
}

impl MembershipBug {
    /// Whether the network drops what a member sends.
    pub(super) fn is_mute(self, now: Duration, from: MemberIndex) -> bool {
        self == MembershipBug::MuteMember && from == MUTE_MEMBER && now >= MUTE_FROM
    }

    /// Removes what a message forwards, where that bug is injected.
    pub(super) fn strip_updates(self, message: &mut Message) {
        if self == MembershipBug::NoDissemination {
            message
                .updates
                .retain(|update| update.node.name == message.from);
        }
    }

    /// The answer to a ping in the place of a dead member, where that bug is injected.
    pub(super) fn answer_for_dead_member(self, dead: &str, message: &Message) -> Option<Message> {
        let MessageBody::Ping { sequence_number } = message.body else {
            return None;
        };
        (self == MembershipBug::DeadMemberAnswers).then(|| Message {
            from: dead.into(),
            to: Some(message.from.clone()),
            body: MessageBody::Ack { sequence_number },
            updates: Vec::new(),
        })
    }
}
