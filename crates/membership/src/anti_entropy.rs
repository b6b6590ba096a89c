//! Anti-entropy: at intervals two members exchange their complete state (memberlist's push-pull),
//! which repairs what the dissemination of single updates has missed and joins the halves of a
//! cluster again after a partition.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::member_table::Recipient;
use crate::membership::Membership;
use crate::message::{MemberState, MessageBody};

impl Membership {
    /// Exchanges the complete state with one live member, and tries one member that is dead or a
    /// seed that is no member, so that the halves of a cluster find each other after a partition. A
    /// node that has not joined yet tries all of those: one that answers is enough.
    pub(crate) fn exchange_state(&mut self) {
        let live: Vec<Recipient> = self
            .members
            .live()
            .map(|member| member.recipient())
            .collect();
        let rejoin = self.rejoin_contacts(&live);
        if let Some(recipient) = self.pick(live) {
            self.send(
                &recipient,
                MessageBody::PushPull {
                    reply_requested: true,
                },
            );
        }
        let contacts = if self.has_joined {
            self.pick(rejoin).into_iter().collect()
        } else {
            rejoin
        };
        for contact in contacts {
            self.broadcasts.push(self.local.clone());
            // A member that was declared dead learns that from the state, and refutes it if it
            // lives.
            let body = match contact.name {
                Some(_) => MessageBody::PushPull {
                    reply_requested: true,
                },
                None => MessageBody::Join,
            };
            self.send(&contact, body);
        }
    }

    /// The dead members, and the seeds at which no live member is known.
    fn rejoin_contacts(&self, live: &[Recipient]) -> Vec<Recipient> {
        let live_addresses: BTreeSet<SocketAddr> =
            live.iter().map(|recipient| recipient.address).collect();
        let dead = self
            .members
            .iter()
            .filter(|member| member.update.state == MemberState::Dead);
        let seeds = self.config.seeds.iter().copied();
        let unknown_seeds = seeds
            .filter(|seed| *seed != self.local.node.address && !live_addresses.contains(seed))
            .map(|address| Recipient {
                name: None,
                address,
            });
        dead.map(|member| member.recipient())
            .chain(unknown_seeds)
            .collect()
    }

    fn pick(&mut self, mut recipients: Vec<Recipient>) -> Option<Recipient> {
        if recipients.is_empty() {
            return None;
        }
        let index = self.rng.usize(0..recipients.len());
        Some(recipients.swap_remove(index))
    }
}
