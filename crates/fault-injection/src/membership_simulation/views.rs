//! What each member considers each other to be.

use std::collections::HashMap;

use tulipgap_membership::MemberState;

use crate::plan::{Member, MemberIndex};

/// The views of a run, as their observers reported them.
pub(super) struct Views {
    index_by_name: HashMap<String, MemberIndex>,
    /// By observer and subject.
    states: Vec<Vec<Option<MemberState>>>,
}

impl Views {
    pub(super) fn new(members: &[Member]) -> Self {
        let index_by_name = members
            .iter()
            .enumerate()
            .map(|(index, member)| (member.name.clone(), index))
            .collect();
        Views {
            index_by_name,
            states: vec![vec![None; members.len()]; members.len()],
        }
    }

    /// What an observer considers a subject to be; `None` where it does not know it.
    pub(super) fn state(&self, observer: MemberIndex, subject: MemberIndex) -> Option<MemberState> {
        self.states[observer][subject]
    }

    /// Forgets what an observer knew, as it restarts.
    pub(super) fn clear(&mut self, observer: MemberIndex) {
        self.states[observer].fill(None);
    }

    /// Records a view. Returns the subject, where it is a member of the run.
    pub(super) fn record(
        &mut self,
        observer: MemberIndex,
        subject: &str,
        state: MemberState,
    ) -> Option<MemberIndex> {
        let subject = *self.index_by_name.get(subject)?;
        self.states[observer][subject] = Some(state);
        Some(subject)
    }
}
