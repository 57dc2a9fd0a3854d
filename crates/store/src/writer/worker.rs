//! The writer's thread: takes the queued jobs, commits their writes together and reports the results.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, TryRecvError};
use std::sync::Arc;
use std::time::{Duration, Instant};

use shaletide_record::{ClaimRejection, Write};

use super::config::{Opener, WriterConfig};
use super::event::WriterEvent;
use super::maintenance::Maintenance;
use super::queue::{Job, Shared};
use crate::{CommitError, CommitOutcome, Head, Store, StoreError, Sums};

/// The writes of one call.
pub(super) struct Ticket {
    pub(super) id: u64,
    pub(super) writes: Vec<Write>,
}

/// The open store, or why it is not open.
pub(super) enum Access {
    Open(Box<dyn Store>),
    Down {
        error: Arc<StoreError>,
        retry_at: Instant,
        /// The backoff that led to `retry_at`; zero before the first opening.
        backoff: Duration,
    },
}

/// The thread's next action.
enum Next {
    Job(Job),
    /// No job is queued: do a maintenance step, or open the store.
    Idle,
    /// The caller's handle was dropped and nothing is queued.
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
    /// The last known head of the store; `None` before the first opening.
    pub(super) acknowledged: Option<Head>,
    /// The tickets of a commit that failed with an unknown outcome.
    pub(super) unresolved: Vec<Ticket>,
    pub(super) maintenance: VecDeque<Maintenance>,
}

impl Worker {
    pub(super) fn new(
        config: WriterConfig, jobs: Receiver<Job>, shared: Arc<Shared>, opener: Opener, sums: Arc<dyn Sums>,
        notify: Box<dyn FnMut(WriterEvent) + Send>,
    ) -> Worker {
        let error = Arc::new(StoreError::Other("the store has not been opened yet".into()));
        Worker {
            config,
            jobs,
            shared,
            opener,
            sums,
            notify,
            access: Access::Down { error, retry_at: Instant::now(), backoff: Duration::ZERO },
            acknowledged: None,
            unresolved: Vec::new(),
            maintenance: VecDeque::new(),
        }
    }

    /// Runs until the caller's handle is dropped and all queued writes are written or have failed. Maintenance that is not
    /// complete then can be requested again after the next start.
    pub(super) fn run(mut self) {
        loop {
            self.open_if_due();
            match self.next() {
                Next::Job(job) => self.process(job),
                Next::Idle => self.maintain(),
                Next::End => return,
            }
        }
    }

    /// Returns the next action. Waits for a job while there is nothing else to do.
    fn next(&self) -> Next {
        match &self.access {
            Access::Open(_) if self.maintenance.is_empty() => self.jobs.recv().map_or(Next::End, Next::Job),
            Access::Open(_) => match self.jobs.try_recv() {
                Ok(job) => Next::Job(job),
                Err(TryRecvError::Empty) => Next::Idle,
                Err(TryRecvError::Disconnected) => Next::End,
            },
            Access::Down { retry_at, .. } => {
                match self.jobs.recv_timeout(retry_at.saturating_duration_since(Instant::now())) {
                    Ok(job) => Next::Job(job),
                    Err(RecvTimeoutError::Timeout) => Next::Idle,
                    Err(RecvTimeoutError::Disconnected) => Next::End,
                }
            }
        }
    }

    /// Takes this job and the jobs queued after it, and commits their writes.
    fn process(&mut self, job: Job) {
        let commit_at = Instant::now() + self.config.linger;
        let mut tickets = Vec::new();
        let mut rows = 0;
        let mut next = Some(job);
        while let Some(job) = next {
            rows += self.accept(job, &mut tickets);
            next = if rows >= self.config.batch_rows { None } else { self.next_until(commit_at) };
        }
        if !tickets.is_empty() {
            self.commit(tickets);
        }
    }

    fn next_until(&self, end: Instant) -> Option<Job> {
        if let Ok(job) = self.jobs.try_recv() {
            return Some(job);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        self.jobs.recv_timeout(left).ok()
    }

    /// Adds a job to the tickets or to the maintenance tasks, and returns how many rows it adds to the commit.
    fn accept(&mut self, job: Job, tickets: &mut Vec<Ticket>) -> usize {
        match job {
            Job::Write { ticket, mut writes, bytes } => {
                self.shared.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
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
                return self.report_failed(&tickets, &error, CommitOutcome::Nothing);
            }
        };
        let lengths: Vec<usize> = tickets.iter().map(|ticket| ticket.writes.len()).collect();
        let mut batch = Vec::new();
        for ticket in &mut tickets {
            batch.append(&mut ticket.writes);
        }
        let work = self.shared.begin_work();
        let committed = store.commit(&batch, &*self.sums);
        let head = committed.is_ok().then(|| store.head());
        drop(work);
        match committed {
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
            Err(_) => WriterEvent::ClaimsRejected { ticket, rows },
        });
    }

    fn commit_failed(&mut self, tickets: Vec<Ticket>, failed: CommitError) {
        let error = Arc::new(failed.error);
        self.report_failed(&tickets, &error, failed.outcome);
        if failed.outcome == CommitOutcome::Unknown {
            self.unresolved = tickets;
        }
        self.store_failed(error);
    }

    fn report_failed(&mut self, tickets: &[Ticket], error: &Arc<StoreError>, outcome: CommitOutcome) {
        for ticket in tickets {
            (self.notify)(WriterEvent::Failed { ticket: ticket.id, error: Arc::clone(error), outcome });
        }
    }

    /// Does one step of the first maintenance task.
    fn maintain(&mut self) {
        let Access::Open(store) = &mut self.access else { return };
        let Some(task) = self.maintenance.front_mut() else { return };
        let limit = self.config.maintenance_step.max(1);
        let work = self.shared.begin_work();
        let stepped = task.step(&mut **store, &*self.sums, self.config.run, limit);
        drop(work);
        // The step may have appended a row that records the pruning.
        let stepped = stepped.and_then(|done| Ok((done, store.head()?)));
        match stepped {
            Ok((done, head)) => {
                self.acknowledged = Some(head);
                if let Some(event) = done {
                    self.maintenance.pop_front();
                    (self.notify)(event);
                }
            }
            Err(error) => self.maintenance_failed(Arc::new(error)),
        }
    }

    /// Reports all maintenance tasks as failed. They are not kept for later, as they can be requested again at any time.
    fn maintenance_failed(&mut self, error: Arc<StoreError>) {
        for task in std::mem::take(&mut self.maintenance) {
            (self.notify)(WriterEvent::Failed {
                ticket: task.ticket(),
                error: Arc::clone(&error),
                outcome: CommitOutcome::Unknown,
            });
        }
        self.store_failed(error);
    }
}
