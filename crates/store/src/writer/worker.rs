//! The writer's thread: takes what waits, commits it together, says what became of it; opens the store again when
//! it failed.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, TryRecvError};
use std::sync::Arc;
use std::time::{Duration, Instant};

use shaletide_record::{ClaimRejection, Write};
use shaletide_types::Time;

use super::{FactEncoder, Job, Opener, Shared, WriterConfig, WriterEvent};
use crate::{CommitError, CommitOutcome, Head, Store, StoreError, Sums};

/// The writes of one call.
pub(super) struct Ticket {
    pub(super) id: u64,
    pub(super) writes: Vec<Write>,
}

/// Something that is done a step at a time, between commits.
pub(super) enum Chore {
    Forget { ticket: u64, before: Time, keys: usize },
    Prune { ticket: u64, before: Time, note: FactEncoder, rows: u64 },
}

impl Chore {
    pub(super) fn ticket(&self) -> u64 {
        match self {
            Chore::Forget { ticket, .. } | Chore::Prune { ticket, .. } => *ticket,
        }
    }
}

/// The store, or why there is none.
pub(super) enum Access {
    Open(Box<dyn Store>),
    Down { trouble: Arc<StoreError>, retry_at: Instant, wait: Duration },
}

enum Next {
    Job(Job),
    Nothing,
    End,
}

pub(super) struct Worker {
    pub(super) config: WriterConfig,
    jobs: Receiver<Job>,
    pub(super) shared: Arc<Shared>,
    pub(super) opener: Opener,
    pub(super) sums: Arc<dyn Sums>,
    pub(super) notify: Box<dyn FnMut(WriterEvent) + Send>,
    pub(super) access: Access,
    /// The last head that the store has shown; none before it was open.
    pub(super) acked: Option<Head>,
    /// What failed so that it may be on record.
    pub(super) unknown: Vec<Ticket>,
    pub(super) chores: VecDeque<Chore>,
}

impl Worker {
    pub(super) fn new(
        config: WriterConfig, jobs: Receiver<Job>, shared: Arc<Shared>, opener: Opener, sums: Arc<dyn Sums>,
        notify: Box<dyn FnMut(WriterEvent) + Send>,
    ) -> Worker {
        let trouble = Arc::new(StoreError::Other("not open yet".into()));
        let access = Access::Down { trouble, retry_at: Instant::now(), wait: Duration::ZERO };
        let (unknown, chores) = (Vec::new(), VecDeque::new());
        Worker { config, jobs, shared, opener, sums, notify, access, acked: None, unknown, chores }
    }

    pub(super) fn run(mut self) {
        loop {
            self.open_if_due();
            match self.next() {
                Next::Job(job) => self.take(job),
                Next::Nothing => self.chore(),
                // What is left of the chores may be asked for again after the next start.
                Next::End => return,
            }
        }
    }

    fn next(&self) -> Next {
        let of = |error| match error {
            TryRecvError::Empty => Next::Nothing,
            TryRecvError::Disconnected => Next::End,
        };
        match &self.access {
            Access::Open(_) if self.chores.is_empty() => self.jobs.recv().map_or(Next::End, Next::Job),
            Access::Open(_) => self.jobs.try_recv().map_or_else(of, Next::Job),
            Access::Down { retry_at, .. } => {
                match self.jobs.recv_timeout(retry_at.saturating_duration_since(Instant::now())) {
                    Ok(job) => Next::Job(job),
                    Err(RecvTimeoutError::Timeout) => Next::Nothing,
                    Err(RecvTimeoutError::Disconnected) => Next::End,
                }
            }
        }
    }

    /// Takes this job and, if it is to be written, what waits behind it.
    fn take(&mut self, job: Job) {
        let until = Instant::now() + self.config.linger;
        let mut tickets = Vec::new();
        let mut rows = 0;
        let mut next = Some(job);
        while let Some(job) = next {
            rows += self.sort(job, &mut tickets);
            next = if rows >= self.config.batch_rows { None } else { self.more(until) };
        }
        if !tickets.is_empty() {
            self.commit(tickets);
        }
    }

    fn more(&self, until: Instant) -> Option<Job> {
        match self.jobs.try_recv() {
            Ok(job) => Some(job),
            Err(_) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return None;
                }
                self.jobs.recv_timeout(left).ok()
            }
        }
    }

    /// Puts a job where it belongs, and says how many rows it adds to the commit.
    fn sort(&mut self, job: Job, tickets: &mut Vec<Ticket>) -> usize {
        match job {
            Job::Write { ticket, mut writes, bytes } => {
                self.shared.bytes.fetch_sub(bytes, Ordering::Relaxed);
                for write in &mut writes {
                    write.row.run = self.config.run;
                }
                let rows = writes.len();
                tickets.push(Ticket { id: ticket, writes });
                rows
            }
            Job::Forget { ticket, before } => {
                self.chores.push_back(Chore::Forget { ticket, before, keys: 0 });
                0
            }
            Job::Prune { ticket, before, note } => {
                self.chores.push_back(Chore::Prune { ticket, before, note, rows: 0 });
                0
            }
        }
    }

    fn commit(&mut self, mut tickets: Vec<Ticket>) {
        let store = match &mut self.access {
            Access::Open(store) => store,
            Access::Down { trouble, .. } => {
                let trouble = Arc::clone(trouble);
                return self.fail(&tickets, &trouble, CommitOutcome::Nothing);
            }
        };
        let mut batch = Vec::new();
        let lengths: Vec<usize> = tickets.iter().map(|ticket| ticket.writes.len()).collect();
        for ticket in &mut tickets {
            batch.append(&mut ticket.writes);
        }
        self.shared.working_since.store(self.shared.now(), Ordering::Relaxed);
        let done = store.commit(&batch, &*self.sums);
        let head = done.as_ref().ok().map(|_| store.head());
        self.shared.working_since.store(0, Ordering::Relaxed);
        match done {
            Ok(rows) => self.acknowledge(&tickets, &lengths, rows),
            Err(failed) => {
                for (ticket, length) in tickets.iter_mut().zip(lengths) {
                    ticket.writes = batch.drain(..length).collect();
                }
                self.commit_failed(tickets, failed);
            }
        }
        match head {
            Some(Ok(head)) => self.acked = Some(head),
            Some(Err(error)) => self.down(Arc::new(error)),
            None => {}
        }
    }

    fn acknowledge(&mut self, tickets: &[Ticket], lengths: &[usize], rows: Vec<Result<u64, ClaimRejection>>) {
        let mut rows = rows.into_iter();
        for (ticket, length) in tickets.iter().zip(lengths) {
            let rows = rows.by_ref().take(*length).collect();
            self.say_done(ticket.id, rows);
        }
    }

    pub(super) fn say_done(&mut self, ticket: u64, rows: Vec<Result<u64, ClaimRejection>>) {
        let seqs: Result<Vec<u64>, ClaimRejection> = rows.iter().copied().collect();
        (self.notify)(match seqs {
            Ok(seqs) => WriterEvent::Committed { ticket, seqs },
            Err(_) => WriterEvent::Refused { ticket, rows },
        });
    }

    fn commit_failed(&mut self, tickets: Vec<Ticket>, failed: CommitError) {
        let trouble = Arc::new(failed.error);
        self.fail(&tickets, &trouble, failed.outcome);
        if failed.outcome == CommitOutcome::Unknown {
            self.unknown = tickets;
        }
        self.down(trouble);
    }

    fn fail(&mut self, tickets: &[Ticket], trouble: &Arc<StoreError>, fate: CommitOutcome) {
        for ticket in tickets {
            (self.notify)(WriterEvent::Failed {
                ticket: ticket.id,
                error: Arc::clone(trouble),
                outcome: fate,
            });
        }
    }
}
