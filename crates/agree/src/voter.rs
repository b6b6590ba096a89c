//! One voter. It says who it is and waits for the others first, takes part in the consensus then, carries out what is agreed
//! on, and counts terms while it leads.

use std::collections::BTreeMap;
use std::time::Duration;

use protobuf::Message as _;
use raft::prelude::{
    ConfChange, ConfChangeType, ConfChangeV2, Config, Entry, EntryType, Message, MessageType,
};
use raft::{RawNode, ReadOnlyOption, StateRole};
use serde::{Deserialize, Serialize};
use tulipgap_leases::{Command, ExpiryTracker, Name, RequestId};

use crate::founding::{Came, Founding, Identity};
use crate::interface::*;
use crate::store::{Agreed, Change, Store};

/// Entries that stay behind a state, for voters a little behind.
const KEPT_BEHIND: u64 = 200;
/// Lists that wait for the leader to be sure that it leads.
const LISTS_MOST: usize = 256;
/// A newcomer votes once it is so near.
const NEAR: u64 = 50;
/// What may be proposed and not agreed on yet.
const PROPOSED_BYTES: u64 = 1024 * 1024;
const MESSAGE_BYTES: u64 = 256 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first voters are getting to know one another.
    Founding,
    /// It was started again, and asks whether others have heard more of it than it has itself.
    Waiting {
        until: Duration,
    },
    Voting,
    Outside,
    SetBack,
}

/// One command and who is to be answered.
#[derive(Serialize, Deserialize)]
struct Asked {
    from: Name,
    ask: RequestId,
    command: Command,
}

#[derive(Serialize, Deserialize)]
struct Listing {
    from: Name,
    number: u64,
    lease: Option<Name>,
}

pub struct Voter {
    terms: Terms,
    me: Identity,
    names: Vec<Name>,
    rng: fastrand::Rng,
    now: Duration,
    phase: Phase,
    founding: Founding,
    raw: Option<RawNode<Store>>,
    agreed: Agreed,
    applied: u64,
    granter: ExpiryTracker,
    /// The term in which it counts the terms of leases, and the role and term when its wait was drawn last.
    granting: Option<u64>,
    drawn: (u64, StateRole),
    wait: usize,
    tick_at: Duration,
    alarm_at: Option<Duration>,
    /// Lists by the entry that must have been carried out before.
    lists: Vec<(u64, Listing)>,
    /// By voter: the highest term and the last entry that it said to have.
    heard: BTreeMap<u64, (u64, u64)>,
    /// The number that each name last said, and who answered since the start.
    ids: BTreeMap<Name, u64>,
    answered: Vec<Name>,
    whole_at: u64,
    #[cfg(feature = "flaws")]
    flaw: Option<Flaw>,
}

impl Voter {
    /// What a new folder is to keep before the voter is made.
    pub fn identity(name: Name, id: u64) -> Vec<u8> {
        postcard::to_stdvec(&Identity::new(name, id)).unwrap_or_default()
    }

    /// Of what is on the disk. `names` are the first voters, this one among them or not.
    pub fn new(
        terms: Terms,
        name: &str,
        names: Vec<Name>,
        identity: &[u8],
        whole: Option<&[u8]>,
        records: &[Vec<u8>],
        seed: u64,
    ) -> Result<Self, Unread> {
        let me: Identity = postcard::from_bytes(identity)
            .map_err(|error| Unread::Bytes("the identity", error.to_string()))?;
        if &*me.name != name {
            return Err(Unread::OtherName(me.name.to_string()));
        }
        let mut sorted = names.clone();
        sorted.sort();
        sorted.dedup();
        if sorted.len() != names.len() || names.is_empty() || names.len() > VOTERS_MOST {
            return Err(Unread::Voters);
        }
        let store = Store::read(whole, records)?;
        let mut voter = Voter {
            founding: Founding::new(names.clone()),
            granter: ExpiryTracker::new(terms.off_thousandths),
            rng: fastrand::Rng::with_seed(seed),
            terms,
            me,
            names,
            now: Duration::ZERO,
            phase: Phase::Founding,
            raw: None,
            agreed: Agreed::default(),
            applied: 0,
            granting: None,
            drawn: (0, StateRole::Follower),
            wait: 0,
            tick_at: Duration::ZERO,
            alarm_at: None,
            lists: Vec::new(),
            heard: BTreeMap::new(),
            ids: BTreeMap::new(),
            answered: Vec::new(),
            whole_at: 0,
            #[cfg(feature = "flaws")]
            flaw: None,
        };
        if let Some(store) = store {
            voter.take_up(store)?;
            // The log is written before the identity says that it was founded.
            voter.me.founded |= voter.me.promised.is_some() && voter.agreed.voters.contains_key(&voter.me.id);
            voter.phase = Phase::Waiting { until: terms.tick * terms.election };
        }
        Ok(voter)
    }

    #[cfg(feature = "flaws")]
    pub fn plant(&mut self, flaw: Option<Flaw>) {
        self.flaw = flaw;
        if let Some(Flaw::Leases(flaw)) = flaw {
            self.granter.inject_bug(Some(flaw));
        }
    }

    #[cfg(feature = "flaws")]
    fn stale_reads(&self) -> bool {
        self.flaw == Some(Flaw::StaleRead)
    }

    #[cfg(not(feature = "flaws"))]
    fn stale_reads(&self) -> bool {
        false
    }

    fn take_up(&mut self, store: Store) -> Result<(), Unread> {
        let bad = |error: raft::Error| Unread::Consensus(error.to_string());
        let snapshot = store.snapshot.clone();
        self.applied = snapshot.get_metadata().index;
        if self.applied > 0 {
            self.agreed = postcard::from_bytes(snapshot.get_data())
                .map_err(|error| Unread::Bytes("a state", error.to_string()))?;
        }
        self.whole_at = self.applied;
        let config = Config {
            id: self.me.id,
            election_tick: self.terms.election as usize,
            heartbeat_tick: 1,
            applied: self.applied,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: PROPOSED_BYTES,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        self.raw = Some(RawNode::new(&config, store, &quiet).map_err(bad)?);
        self.draw();
        Ok(())
    }

    pub fn standing(&self) -> Standing {
        let phase = match self.phase {
            Phase::Founding => "founding",
            Phase::Waiting { .. } => "waiting",
            Phase::Voting => "voting",
            Phase::Outside => "outside",
            Phase::SetBack => "set back",
        };
        Standing {
            id: self.me.id,
            term: self.raw.as_ref().map_or(0, |raw| raw.raft.term),
            leader: self.leader(),
            applied: self.applied,
            phase: phase.to_owned(),
            voters: self.agreed.voters.clone(),
        }
    }

    pub fn leads(&self) -> bool {
        self.raw.as_ref().is_some_and(|raw| raw.raft.state == StateRole::Leader)
    }

    fn leader(&self) -> Option<Name> {
        self.agreed.voters.get(&self.raw.as_ref()?.raft.leader_id).cloned()
    }

    /// What was agreed on so far, as this one has carried it out.
    pub fn agreed(&self) -> (&tulipgap_leases::LeaseStateMachine, u64) {
        (&self.agreed.table, self.applied)
    }

    pub fn decide(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = now.max(self.now);
        let mut asked = Vec::new();
        for event in events {
            if self.phase == Phase::SetBack {
                return Vec::new();
            }
            match event {
                Event::Alarm => self.alarm(&mut out),
                Event::Peer { from, message } => self.peer(&from, message, &mut out),
                Event::Asked { from, ask, command } if self.leads() => {
                    asked.push(Asked { from, ask, command });
                }
                Event::Asked { from, ask, .. } => {
                    out.push(Action::NotLeading { to: from, ask, leader: self.leader() });
                }
                Event::List { from, number, lease } => self.list(Listing { from, number, lease }, &mut out),
                Event::Leave => self.hand_on(),
                Event::Replace { old, new } => self.replace(&old, &new),
            }
        }
        self.propose(asked, &mut out);
        self.go_on(&mut out);
        out
    }

    fn propose(&mut self, mut asked: Vec<Asked>, out: &mut Vec<Action>) {
        if asked.is_empty() {
            return;
        }
        let data = postcard::to_stdvec(&asked).unwrap_or_default();
        if self.raw.as_mut().is_none_or(|raw| raw.propose(Vec::new(), data).is_err()) {
            // More is proposed than is agreed on: whoever asked asks again.
            let answer = |asked: Asked| Action::NotLeading { to: asked.from, ask: asked.ask, leader: None };
            out.extend(asked.drain(..).map(answer));
        }
    }

    fn alarm(&mut self, out: &mut Vec<Action>) {
        self.alarm_at = self.alarm_at.filter(|&at| at > self.now);
        if self.now >= self.tick_at {
            // One look for each alarm, however late: who was stopped has not heard a leader be silent.
            self.tick_at = self.now + self.terms.tick;
            match self.phase {
                Phase::Founding => self.hello(None, true, out),
                Phase::Waiting { until } => {
                    self.hello(None, true, out);
                    if self.now >= until {
                        self.phase = Phase::Voting;
                    }
                }
                Phase::Voting | Phase::Outside => {
                    if let Some(raw) = &mut self.raw {
                        raw.tick();
                    }
                    self.draw();
                    self.move_voters();
                }
                Phase::SetBack => {}
            }
        }
        let over = self.granter.due_expirations(self.now);
        let none: Name = "".into();
        let asked = over
            .into_iter()
            .map(|command| Asked { from: none.clone(), ask: RequestId(0), command })
            .collect();
        self.propose(asked, out);
    }

    /// The consensus draws its waits from a source of its own; each is put in place of it as it was drawn from the seed.
    fn draw(&mut self) {
        let Some(raw) = &mut self.raw else { return };
        let now = (raw.raft.term, raw.raft.state);
        let election = self.terms.election as usize;
        if self.wait == 0 || self.drawn != now {
            self.drawn = now;
            self.wait = self.rng.usize(election..2 * election);
        }
        raw.raft.set_randomized_election_timeout(self.wait);
    }

    fn known_others(&self) -> Vec<Name> {
        let mut others: Vec<Name> = self.agreed.voters.values().chain(&self.names).cloned().collect();
        others.sort();
        others.dedup();
        others.retain(|name| *name != self.me.name);
        others
    }

    fn hello(&self, to: Option<&Name>, asks: bool, out: &mut Vec<Action>) {
        let others = to.map_or_else(|| self.known_others(), |to| vec![to.clone()]);
        for to in others {
            let heard = self.ids.get(&to).and_then(|id| self.heard.get(id)).copied().unwrap_or_default();
            let message = Peer::Hello {
                asks,
                id: self.me.id,
                founders: self.founding.known(&self.me),
                stage: self.me.stage(),
                heard,
            };
            out.push(Action::Send { to, message });
        }
    }

    fn peer(&mut self, from: &Name, message: Peer, out: &mut Vec<Action>) {
        match message {
            Peer::Hello { asks, id, founders, stage, heard, .. } => {
                self.ids.insert(from.clone(), id);
                if self.ids.len() > 4 * VOTERS_MOST {
                    self.ids.retain(|name, _| self.names.contains(name) || name == from);
                }
                if asks {
                    self.hello(Some(from), false, out);
                } else if !self.answered.contains(from) {
                    self.answered.push(from.clone());
                }
                if self.is_behind(heard) {
                    return self.set_back(heard, out);
                }
                if self.phase == Phase::Founding {
                    match self.founding.hears(&self.me, from, id, &founders, stage) {
                        Came::Nothing => {}
                        Came::Promise(founders) => {
                            self.me.promised = Some(founders);
                            out.push(Action::Identity(postcard::to_stdvec(&self.me).unwrap_or_default()));
                            self.hello(None, false, out);
                        }
                        Came::Founded(founders) => self.found(founders, out),
                        Came::Outside => {
                            out.push(Action::Notice(Notice::Outside));
                            self.phase = Phase::Outside;
                            self.start(Store::default(), out);
                        }
                    }
                }
                let others = self.known_others();
                if let Phase::Waiting { .. } = self.phase
                    && others.iter().all(|other| self.answered.contains(other))
                {
                    self.phase = Phase::Voting;
                }
            }
            Peer::Raft(bytes) => self.raft(&bytes, out),
        }
    }

    /// Whether others have heard more of this voter than it has itself: its folder is an older copy.
    fn is_behind(&self, heard: (u64, u64)) -> bool {
        self.raw.as_ref().is_some_and(|raw| {
            let (term, _, _) = raw.raft.store().hard();
            heard.0 > term || heard.1 > raw.raft.raft_log.last_index()
        })
    }

    fn set_back(&mut self, heard: (u64, u64), out: &mut Vec<Action>) {
        let (had, held) =
            self.raw.as_ref().map_or((0, 0), |raw| (raw.raft.term, raw.raft.raft_log.last_index()));
        self.phase = Phase::SetBack;
        self.raw = None;
        self.granter.stop_leading();
        out.push(Action::Notice(Notice::SetBack { had, held, heard }));
    }

    fn found(&mut self, founders: BTreeMap<Name, u64>, out: &mut Vec<Action>) {
        let names: Vec<&str> = founders.keys().map(|name| &**name).collect();
        let names = names.join(", ");
        let store = Store::founded(&founders);
        // The log first: an identity without it would be told of founders and start without what they begin with.
        out.push(Action::Whole(store.whole()));
        (self.me.promised, self.me.founded) = (Some(founders), true);
        out.push(Action::Identity(postcard::to_stdvec(&self.me).unwrap_or_default()));
        out.push(Action::Notice(Notice::Founded(names)));
        self.phase = Phase::Voting;
        self.hello(None, false, out);
        if let Err(error) = self.take_up(store) {
            out.push(Action::Notice(Notice::Senseless(error.to_string())));
        }
    }

    fn start(&mut self, store: Store, out: &mut Vec<Action>) {
        out.push(Action::Whole(store.whole()));
        if let Err(error) = self.take_up(store) {
            out.push(Action::Notice(Notice::Senseless(error.to_string())));
        }
    }

    fn raft(&mut self, bytes: &[u8], out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Voting | Phase::Outside) {
            return;
        }
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return out.push(Action::Notice(Notice::Senseless("a message of the consensus".into())));
        };
        let kind = message.get_msg_type();
        let pre = matches!(kind, MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse);
        if message.to != self.me.id || raft::raw_node::is_local_msg(kind) {
            return;
        }
        let Some(raw) = &mut self.raw else { return };
        let last = raw.raft.raft_log.last_index();
        // Others know of entries that this one had and has no more: taken for true, the consensus would give up.
        let ahead = match kind {
            MessageType::MsgHeartbeat => message.commit,
            MessageType::MsgAppendResponse if !message.reject => message.index,
            _ => 0,
        };
        if ahead > last && message.term >= raw.raft.term {
            return self.set_back((message.term, ahead), out);
        }
        if !pre {
            let heard = self.heard.entry(message.from).or_default();
            heard.0 = heard.0.max(message.term);
            if kind == MessageType::MsgAppendResponse && !message.reject {
                heard.1 = heard.1.max(message.index);
            }
            if self.heard.len() > 4 * VOTERS_MOST {
                let voters = &self.agreed.voters;
                self.heard.retain(|id, _| voters.contains_key(id));
            }
        }
        // What it does not take is out of date or from nobody it knows.
        let _ = raw.step(message);
        self.draw();
    }

    fn list(&mut self, listing: Listing, out: &mut Vec<Action>) {
        if self.stale_reads() && self.leads() {
            return self.listed(&listing, out);
        }
        let leader = self.leader();
        let (to, ask) = (listing.from.clone(), RequestId(listing.number));
        match &mut self.raw {
            Some(raw) if raw.raft.state == StateRole::Leader && self.lists.len() < LISTS_MOST => {
                // Answered once a majority says that it still leads, and all agreed on by now was carried out.
                raw.read_index(postcard::to_stdvec(&listing).unwrap_or_default());
            }
            _ => out.push(Action::NotLeading { to, ask, leader }),
        }
    }

    fn listed(&self, listing: &Listing, out: &mut Vec<Action>) {
        let table = &self.agreed.table;
        let leases = match &listing.lease {
            Some(name) => table.lease(name).map(|lease| (name.clone(), lease.clone())).into_iter().collect(),
            None => table.leases().take(LISTED_MOST).map(|(n, l)| (n.clone(), l.clone())).collect(),
        };
        out.push(Action::Listing { to: listing.from.clone(), number: listing.number, leases });
    }

    fn hand_on(&mut self) {
        let Some(raw) = &mut self.raw else { return };
        if raw.raft.state != StateRole::Leader {
            return;
        }
        let furthest = raw.raft.prs().iter().filter(|(id, p)| **id != raw.raft.id && p.recent_active);
        let next = furthest.max_by_key(|(id, p)| (p.matched, **id)).map(|(id, _)| *id);
        if let Some(next) = next {
            raw.transfer_leader(next);
        }
    }

    fn replace(&mut self, old: &Name, new: &Name) {
        let old = self.agreed.voters.iter().find(|(_, name)| *name == old).map(|(id, _)| *id);
        let (Some(old), Some(&id)) = (old, self.ids.get(new)) else { return };
        if id != old && !self.agreed.voters.contains_key(&id) {
            self.change(ConfChangeType::AddLearnerNode, id, Change { name: new.clone(), old });
        }
    }

    fn change(&mut self, kind: ConfChangeType, node: u64, change: Change) {
        let Some(raw) = &mut self.raw else { return };
        let mut conf = ConfChange::default();
        conf.set_change_type(kind);
        conf.node_id = node;
        conf.set_context(postcard::to_stdvec(&change).unwrap_or_default().into());
        // One change at a time; what is not taken is proposed again at a later look.
        let _ = raw.propose_conf_change(Vec::new(), conf);
    }

    /// A change of who votes goes by steps, each agreed on: learn, vote, and only then the old one goes.
    fn move_voters(&mut self) {
        if !self.leads() {
            return;
        }
        let (coming, leaving) = (self.agreed.coming.clone(), self.agreed.leaving.clone());
        if let Some(&old) = leaving.first() {
            let name = self.agreed.voters.get(&old).cloned().unwrap_or_else(|| "".into());
            return self.change(ConfChangeType::RemoveNode, old, Change { name, old });
        }
        for (id, (name, old)) in coming {
            let near = self.raw.as_ref().is_some_and(|raw| {
                let matched = raw.raft.prs().get(id).map_or(0, |progress| progress.matched);
                matched + NEAR >= raw.raft.raft_log.committed
            });
            if near {
                return self.change(ConfChangeType::AddNode, id, Change { name, old });
            }
        }
    }

    /// What the consensus has ready: written first, then said, then carried out.
    fn go_on(&mut self, out: &mut Vec<Action>) {
        while self.raw.as_ref().is_some_and(|raw| raw.has_ready()) {
            let Some(raw) = &mut self.raw else { break };
            let mut ready = raw.ready();
            let changes = ready.must_sync();
            let snapshot = ready.snapshot().clone();
            let entries = ready.take_entries();
            let hard = ready.hs().cloned();
            let (first, then) = (ready.take_messages(), ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            let reads = ready.take_read_states();
            let fresh = snapshot.get_metadata().index > 0;
            let store = raw.mut_store();
            if fresh {
                store.install(snapshot.clone());
            }
            if let Some(hard) = &hard {
                store.set_hard((hard.term, hard.vote, hard.commit));
            }
            let mut wrong = store.append(entries.clone()).err();
            if fresh {
                out.push(Action::Whole(store.whole()));
            } else if changes {
                // How far the log is agreed on alone is not worth a write: whoever reads the log finds out again.
                out.push(Action::Write(Store::record(hard.as_ref(), &entries)));
            }
            if fresh {
                match postcard::from_bytes::<Agreed>(snapshot.get_data()) {
                    Ok(agreed) => {
                        self.applied = snapshot.get_metadata().index;
                        self.whole_at = self.applied;
                        self.phase = if agreed.voters.contains_key(&self.me.id)
                            || agreed.coming.contains_key(&self.me.id)
                        {
                            Phase::Voting
                        } else {
                            self.phase
                        };
                        self.agreed = agreed;
                    }
                    Err(error) => wrong = Some(error.to_string()),
                }
            }
            if let Some(error) = wrong {
                // Nothing sound can follow.
                self.raw = None;
                self.phase = Phase::SetBack;
                return out.push(Action::Notice(Notice::Senseless(error)));
            }
            self.say(first.into_iter().chain(then), out);
            self.carry_out(committed, out);
            for read in reads {
                if let Ok(listing) = postcard::from_bytes(&read.request_ctx) {
                    self.lists.push((read.index, listing));
                }
            }
            let Some(raw) = &mut self.raw else { break };
            let mut light = raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                let (term, vote, _) = raw.store().hard();
                raw.mut_store().set_hard((term, vote, commit));
            }
            let (messages, committed) = (light.take_messages(), light.take_committed_entries());
            self.say(messages.into_iter(), out);
            self.carry_out(committed, out);
            if let Some(raw) = &mut self.raw {
                raw.advance_apply();
            }
            self.draw();
        }
        self.follow_role(out);
        let due = std::mem::take(&mut self.lists);
        for (index, listing) in due {
            match index <= self.applied {
                true => self.listed(&listing, out),
                false => self.lists.push((index, listing)),
            }
        }
        self.keep_whole(out);
        let at = self.granter.next_check_at().map_or(self.tick_at, |at| at.min(self.tick_at)).max(self.now);
        if self.phase != Phase::SetBack && self.alarm_at.is_none_or(|asked| at < asked) {
            self.alarm_at = Some(at);
            out.push(Action::Alarm { at });
        }
    }

    fn say(&mut self, messages: impl Iterator<Item = Message>, out: &mut Vec<Action>) {
        for message in messages {
            let known = self.agreed.voters.get(&message.to);
            let coming = || self.agreed.coming.get(&message.to).map(|(name, _)| name);
            let founder = || {
                let founders = self.me.promised.iter().flatten();
                founders.clone().find(|(_, id)| **id == message.to).map(|(name, _)| name)
            };
            let by_id = || self.ids.iter().find(|(_, id)| **id == message.to).map(|(name, _)| name);
            if let Some(to) = known.or_else(coming).or_else(founder).or_else(by_id).cloned() {
                let bytes = message.write_to_bytes().unwrap_or_default();
                out.push(Action::Send { to, message: Peer::Raft(bytes) });
            }
        }
    }

    fn carry_out(&mut self, entries: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let Ok(asked) = postcard::from_bytes::<Vec<Asked>>(&entry.data) else {
                        out.push(Action::Notice(Notice::Senseless(format!("entry {}", entry.index))));
                        continue;
                    };
                    for asked in asked {
                        self.command(asked, out);
                    }
                }
                EntryType::EntryConfChange => {
                    if let Ok(change) = ConfChange::parse_from_bytes(&entry.data) {
                        self.changed(&change);
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    if let (Ok(change), Some(raw)) =
                        (ConfChangeV2::parse_from_bytes(&entry.data), &mut self.raw)
                    {
                        let _ = raw.apply_conf_change(&change);
                    }
                }
            }
        }
    }

    fn command(&mut self, asked: Asked, out: &mut Vec<Action>) {
        let answer = self.agreed.table.apply(&asked.command);
        let lease = asked.command.lease();
        self.granter.command_applied(self.now, lease, &self.agreed.table);
        if !self.leads() {
            return;
        }
        if !asked.from.is_empty() {
            let life = asked.command.incarnation();
            out.push(Action::Answer { to: asked.from.clone(), life, ask: asked.ask, answer });
        }
        if !matches!(asked.command, Command::Acquire { .. }) {
            for who in self.agreed.table.next_owners(lease) {
                out.push(Action::Turn { to: who.name.clone(), lease: lease.clone() });
            }
        }
    }

    fn changed(&mut self, change: &ConfChange) {
        let Some(raw) = &mut self.raw else { return };
        // The consensus refuses what would leave no voter; then nothing of it is taken up here either.
        if raw.apply_conf_change(change).is_err() {
            return;
        }
        let id = change.node_id;
        let Ok(Change { name, old }) = postcard::from_bytes(change.get_context()) else { return };
        match change.get_change_type() {
            ConfChangeType::AddLearnerNode => _ = self.agreed.coming.insert(id, (name, old)),
            ConfChangeType::AddNode => {
                self.agreed.coming.remove(&id);
                self.agreed.voters.insert(id, name);
                if self.agreed.voters.contains_key(&old) && !self.agreed.leaving.contains(&old) {
                    self.agreed.leaving.push(old);
                }
            }
            ConfChangeType::RemoveNode => {
                self.agreed.voters.remove(&id);
                self.agreed.coming.remove(&id);
                self.agreed.leaving.retain(|leaving| *leaving != id);
            }
        }
    }

    /// Terms are counted from the first entry of its own on that it carried out as the leader: all before is known then.
    fn follow_role(&mut self, out: &mut Vec<Action>) {
        let Some(raw) = &self.raw else { return };
        let term = raw.raft.term;
        let sure = raw.raft.state == StateRole::Leader && raw.raft.apply_to_current_term();
        if sure && self.granting != Some(term) {
            self.granting = Some(term);
            self.agreed.table.leader_changed();
            self.granter.start_leading(self.now, &self.agreed.table);
            out.push(Action::Notice(Notice::Leads(term)));
        } else if !sure && self.granting.is_some() {
            self.granting = None;
            self.granter.stop_leading();
            self.lists.clear();
            out.push(Action::Notice(Notice::LedBefore));
        }
    }

    fn keep_whole(&mut self, out: &mut Vec<Action>) {
        if self.applied < self.whole_at + self.terms.whole_after {
            return;
        }
        let Some(raw) = &mut self.raw else { return };
        let conf = raw.raft.prs().conf().to_conf_state();
        let store = raw.mut_store();
        store.take(self.applied, conf, &self.agreed, KEPT_BEHIND);
        self.whole_at = self.applied;
        out.push(Action::Whole(store.whole()));
    }
}
