//! Bugs that are injected to show that the checks can fail.

use std::time::Duration;

use tulipgap_membership::{Message, MessageBody};

use crate::plan::MemberIndex;

/// The time from which [`MembershipBug::MuteMember`] drops all messages of its member.
const MUTE_FROM: Duration = Duration::from_secs(10);
/// The member whose messages [`MembershipBug::MuteMember`] drops.
const MUTE_MEMBER: MemberIndex = 0;

/// A bug that is injected to show that a check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipBug {
    /// The network drops all messages of the first member, though its links work.
    MuteMember,
    /// The simulation answers pings to a dead member in the member's name.
    DeadMemberAnswers,
    /// No member forwards updates about other members.
    NoDissemination,
}

impl MembershipBug {
    /// Whether this bug drops the messages of a member.
    pub(super) fn is_mute(self, now: Duration, from: MemberIndex) -> bool {
        self == MembershipBug::MuteMember && from == MUTE_MEMBER && now >= MUTE_FROM
    }

    /// Removes the updates about other members from a message, if this bug is
    /// [`MembershipBug::NoDissemination`].
    pub(super) fn strip_updates(self, message: &mut Message) {
        if self == MembershipBug::NoDissemination {
            message
                .updates
                .retain(|update| update.node.name == message.from);
        }
    }

    /// Returns the answer to a ping in the name of a dead member, if this bug is
    /// [`MembershipBug::DeadMemberAnswers`].
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
