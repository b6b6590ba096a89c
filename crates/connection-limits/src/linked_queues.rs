//! Queues of small indices, linked through an array.

/// Marks a missing index or queue.
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Entry {
    /// The queue of the index; `NONE` if it is in no queue.
    queue: u32,
    previous: u32,
    next: u32,
}

#[derive(Clone, Copy)]
struct Queue {
    front: u32,
    back: u32,
    length: usize,
}

/// Several queues; each index is in one of them at most. Every operation takes constant time, and
/// nothing is allocated after the array has grown to the greatest index.
pub struct LinkedQueues {
    queues: Vec<Queue>,
    entries: Vec<Entry>,
}

impl LinkedQueues {
    /// Creates this number of empty queues.
    pub fn new(queues: usize) -> Self {
        LinkedQueues {
            queues: vec![
                Queue {
                    front: NONE,
                    back: NONE,
                    length: 0
                };
                queues
            ],
            entries: Vec::new(),
        }
    }

    /// Moves an index to the back of a queue, and removes it from its previous queue.
    pub fn push_back(&mut self, index: usize, queue: usize) {
        self.remove(index);
        if self.entries.len() <= index {
            self.entries.resize(
                index + 1,
                Entry {
                    queue: NONE,
                    previous: NONE,
                    next: NONE,
                },
            );
        }
        let back = self.queues[queue].back;
        self.entries[index] = Entry {
            queue: queue as u32,
            previous: back,
            next: NONE,
        };
        match back {
            NONE => self.queues[queue].front = index as u32,
            back => self.entries[back as usize].next = index as u32,
        }
        self.queues[queue].back = index as u32;
        self.queues[queue].length += 1;
    }

    /// Removes an index from its queue, if it is in one.
    pub fn remove(&mut self, index: usize) {
        let Some(&Entry {
            queue,
            previous,
            next,
        }) = self.entries.get(index)
        else {
            return;
        };
        if queue == NONE {
            return;
        }
        match previous {
            NONE => self.queues[queue as usize].front = next,
            previous => self.entries[previous as usize].next = next,
        }
        match next {
            NONE => self.queues[queue as usize].back = previous,
            next => self.entries[next as usize].previous = previous,
        }
        self.entries[index].queue = NONE;
        self.queues[queue as usize].length -= 1;
    }

    /// The index at the front of a queue.
    pub fn front(&self, queue: usize) -> Option<usize> {
        let front = self.queues[queue].front;
        (front != NONE).then_some(front as usize)
    }

    /// The queue of an index; `None` if it is in no queue.
    pub fn queue_of(&self, index: usize) -> Option<usize> {
        self.entries
            .get(index)
            .filter(|entry| entry.queue != NONE)
            .map(|entry| entry.queue as usize)
    }

    /// The number of indices in a queue.
    pub fn len(&self, queue: usize) -> usize {
        self.queues[queue].length
    }
}
