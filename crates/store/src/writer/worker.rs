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
pub(super) enum Maintenance {
    Forget { ticket: u64, before: Time, keys: usize },
    Prune { ticket: u64, before: Time, note: FactEncoder, rows: u64 },
}

impl Maintenance {
    pub(super) fn ticket(&self) -> u64 {
        match self {
            Maintenance::Forget { ticket, .. } | Maintenance::Prune { ticket, .. } => *ticket,
        }
    }
}

/// The store, or why there is none.
pub(super) enum Access {
    Open(Box<dyn Store>),
    Down { error: Arc<StoreError>, retry_at: Instant, wait: Duration },
}

enum Step {
    Job(Job),
    Idle,
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
    pub(super) acknowledged: Option<Head>,
    /// What failed so that it may be on record.
    pub(super) unresolved: Vec<Ticket>,
    pub(super) maintenance: VecDeque<Maintenance>,
}

impl Worker {
    pub(super) fn new(
        config: WriterConfig, jobs: Receiver<Job>, shared: Arc<Shared>, opener: Opener, sums: Arc<dyn Sums>,
        notify: Box<dyn FnMut(WriterEvent) + Send>,
    ) -> Worker {
        let error = Arc::new(StoreError::Other("not open yet".into()));
        let access = Access::Down { error, retry_at: Instant::now(), wait: Duration::ZERO };
        let (unresolved, maintenance) = (Vec::new(), VecDeque::new());
        Worker {
            config,
            jobs,
            shared,
            opener,
            sums,
            notify,
            access,
            acknowledged: None,
            unresolved,
            maintenance,
        }
    }

    pub(super) fn run(mut self) {
        loop {
            self.open_if_due();
            match self.next_step() {
                Step::Job(job) => self.process(job),
                Step::Idle => self.maintain(),
                // What is left of the maintenance may be asked for again after the next start.
                Step::End => return,
            }
        }
    }

    fn next_step(&self) -> Step {
        let of = |error| match error {
            TryRecvError::Empty => Step::Idle,
            TryRecvError::Disconnected => Step::End,
        };
        match &self.access {
            Access::Open(_) if self.maintenance.is_empty() => self.jobs.recv().map_or(Step::End, Step::Job),
            Access::Open(_) => self.jobs.try_recv().map_or_else(of, Step::Job),
            Access::Down { retry_at, .. } => {
                match self.jobs.recv_timeout(retry_at.saturating_duration_since(Instant::now())) {
                    Ok(job) => Step::Job(job),
                    Err(RecvTimeoutError::Timeout) => Step::Idle,
                    Err(RecvTimeoutError::Disconnected) => Step::End,
                }
            }
        }
    }

    /// Takes this job and, if it is to be written, what waits behind it.
    fn process(&mut self, job: Job) {
        let until = Instant::now() + self.config.linger;
        let mut tickets = Vec::new();
        let mut rows = 0;
        let mut next = Some(job);
        while let Some(job) = next {
            rows += self.accept(job, &mut tickets);
            next = if rows >= self.config.batch_rows { None } else { self.next_waiting(until) };
        }
        if !tickets.is_empty() {
            self.commit(tickets);
        }
    }

    fn next_waiting(&self, until: Instant) -> Option<Job> {
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
    fn accept(&mut self, job: Job, tickets: &mut Vec<Ticket>) -> usize {
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
                self.maintenance.push_back(Maintenance::Forget { ticket, before, keys: 0 });
                0
            }
            Job::Prune { ticket, before, note } => {
                self.maintenance.push_back(Maintenance::Prune { ticket, before, note, rows: 0 });
                0
            }
        }
    }

    fn commit(&mut self, mut tickets: Vec<Ticket>) {
        let store = match &mut self.access {
            Access::Open(store) => store,
            Access::Down { error, .. } => {
                let error = Arc::clone(error);
                return self.fail(&tickets, &error, CommitOutcome::Nothing);
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
            Some(Ok(head)) => self.acknowledged = Some(head),
            Some(Err(error)) => self.store_failed(Arc::new(error)),
            None => {}
        }
    }

    fn acknowledge(&mut self, tickets: &[Ticket], lengths: &[usize], rows: Vec<Result<u64, ClaimRejection>>) {
        let mut rows = rows.into_iter();
        for (ticket, length) in tickets.iter().zip(lengths) {
            let rows = rows.by_ref().take(*length).collect();
            self.report_rows(ticket.id, rows);
        }
    }

    pub(super) fn report_rows(&mut self, ticket: u64, rows: Vec<Result<u64, ClaimRejection>>) {
        let seqs: Result<Vec<u64>, ClaimRejection> = rows.iter().copied().collect();
        (self.notify)(match seqs {
            Ok(seqs) => WriterEvent::Committed { ticket, seqs },
            Err(_) => WriterEvent::Refused { ticket, rows },
        });
    }

    fn commit_failed(&mut self, tickets: Vec<Ticket>, failed: CommitError) {
        let error = Arc::new(failed.error);
        self.fail(&tickets, &error, failed.outcome);
        if failed.outcome == CommitOutcome::Unknown {
            self.unresolved = tickets;
        }
        self.store_failed(error);
    }

    fn fail(&mut self, tickets: &[Ticket], error: &Arc<StoreError>, outcome: CommitOutcome) {
        for ticket in tickets {
            (self.notify)(WriterEvent::Failed { ticket: ticket.id, error: Arc::clone(error), outcome });
        }
    }
}
