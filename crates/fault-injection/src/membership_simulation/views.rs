//! The view that each member has of each other member.

use std::collections::HashMap;

use tulipgap_membership::MemberState;

use crate::plan::{Member, MemberIndex};

/// The views of a run, as the observers reported them.
pub(super) struct Views {
    index_by_name: HashMap<String, MemberIndex>,
    /// The states by observer and subject.
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

    /// The state of a subject in an observer's view; `None` if the observer does not know the
    /// subject.
    pub(super) fn state(&self, observer: MemberIndex, subject: MemberIndex) -> Option<MemberState> {
        self.states[observer][subject]
    }

    /// Clears the view of an observer that restarts.
    pub(super) fn clear(&mut self, observer: MemberIndex) {
        self.states[observer].fill(None);
    }

    /// Records a state in a view. Returns the subject if it is a member of the run.
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
