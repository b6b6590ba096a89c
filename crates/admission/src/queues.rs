//! Connections in some queues, each in one at a time and in the order in which it got there: the first of a queue, and
//! moving one to the end of another, are a step each, without a look at any other.

const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Entry {
    queue: u32,
    before: u32,
    after: u32,
}

pub struct Queues {
    ends: Vec<(u32, u32)>,
    lengths: Vec<usize>,
    entries: Vec<Entry>,
}

impl Queues {
    pub fn new(queues: usize) -> Self {
        Queues { ends: vec![(NONE, NONE); queues], lengths: vec![0; queues], entries: Vec::new() }
    }

    /// Puts an index at the end of a queue, and takes it out of the one where it is.
    pub fn put(&mut self, index: usize, queue: usize) {
        self.remove(index);
        if self.entries.len() <= index {
            self.entries.resize(index + 1, Entry { queue: NONE, before: NONE, after: NONE });
        }
        let last = self.ends[queue].1;
        self.entries[index] = Entry { queue: queue as u32, before: last, after: NONE };
        match last {
            NONE => self.ends[queue].0 = index as u32,
            last => self.entries[last as usize].after = index as u32,
        }
        self.ends[queue].1 = index as u32;
        self.lengths[queue] += 1;
    }

    pub fn remove(&mut self, index: usize) {
        let Some(&Entry { queue, before, after }) = self.entries.get(index) else { return };
        if queue == NONE {
            return;
        }
        match before {
            NONE => self.ends[queue as usize].0 = after,
            before => self.entries[before as usize].after = after,
        }
        match after {
            NONE => self.ends[queue as usize].1 = before,
            after => self.entries[after as usize].before = before,
        }
        self.entries[index].queue = NONE;
        self.lengths[queue as usize] -= 1;
    }

    pub fn first(&self, queue: usize) -> Option<usize> {
        let first = self.ends[queue].0;
        (first != NONE).then_some(first as usize)
    }

    /// In which queue an index is.
    pub fn of(&self, index: usize) -> Option<usize> {
        self.entries.get(index).filter(|entry| entry.queue != NONE).map(|entry| entry.queue as usize)
    }

    pub fn len(&self, queue: usize) -> usize {
        self.lengths[queue]
    }

    pub fn is_empty(&self, queue: usize) -> bool {
        self.lengths[queue] == 0
    }
}
