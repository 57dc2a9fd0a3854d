//! The writer's thread: queued tickets are committed together, callers never wait, and a failed store is opened again.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::writer_harness::{config, wait_until_commit_hangs, WriterHarness, TIMEOUT};
use shaletide_record::{Claim, ClaimRejection, KeyState};
use shaletide_store::conformance::{all_rows, free, key, plain_sum, pruned, set, take, write};
use shaletide_store::faults::{Fault, Faults, Step};
use shaletide_store::memory::MemoryStore;
use shaletide_store::{
    verify, CommitOutcome, Opener, Opening, SendError, StillBusy, StoreError, Writer, WriterConfig,
    WriterEvent,
};
use shaletide_types::Time;

#[test]
fn queued_tickets_are_committed_together_in_order() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(config(), &store, &faults);
    faults.hang_commits();
    harness.take(1, "a").expect("queued");
    wait_until_commit_hangs(&faults);
    harness.take(2, "b").expect("queued");
    harness.take(3, "a").expect("queued");
    harness.writer.send(4, vec![take(4, &key("c")), take(5, &key("b")), free(6, &key("c"))]).expect("queued");
    harness.take(5, "c").expect("queued");
    faults.resume_commits();
    assert_eq!(harness.committed(), (1, vec![1]));
    assert_eq!(harness.committed(), (2, vec![2]));
    let taken = Err(ClaimRejection::Taken(KeyState::InFlight));
    assert!(matches!(harness.next(), WriterEvent::ClaimsRejected { ticket: 3, rows } if rows == [taken]));
    assert!(
        matches!(harness.next(), WriterEvent::ClaimsRejected { ticket: 4, rows } if rows == [Ok(3), taken, Ok(4)])
    );
    assert_eq!(harness.committed(), (5, vec![5]));
    assert_eq!(faults.steps(), [Step::Began(1), Step::Durable(1), Step::Began(6), Step::Durable(4)]);
    assert!(harness.stop().is_empty());
    assert!(all_rows(&store, 0).iter().all(|row| row.run == 7));
}

#[test]
fn acknowledgement_follows_its_commit() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let noting_faults = faults.clone();
    let wrap = faults.clone();
    let notify = Box::new(move |event: WriterEvent| {
        noting_faults.note(format!("{event:?}").split(' ').next().unwrap_or_default())
    });
    let opener: Opener = Box::new(move |_| Ok(wrap.wrap(Box::new(store.clone()))));
    let writer = Writer::start(config(), opener, Arc::new(plain_sum), notify).expect("a thread");
    for ticket in 0..100 {
        writer.send(ticket, vec![take(ticket, &key(format!("{ticket}")))]).expect("queued");
    }
    writer.stop(TIMEOUT).expect("stops");
    let (mut durable, mut answered) = (0, 0);
    for step in faults.steps() {
        match step {
            Step::Durable(rows) => durable += rows,
            Step::Noted(event_name) if event_name == "Committed" => {
                answered += 1;
                assert!(answered <= durable, "acknowledgement {answered} came before its commit");
            }
            _ => {}
        }
    }
    assert_eq!((durable, answered), (100, 100));
}

#[test]
fn hung_store_blocks_no_caller_and_its_queue_is_bounded() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(WriterConfig { queue: 3, ..config() }, &store, &faults);
    faults.hang_commits();
    harness.take(0, "first").expect("queued");
    wait_until_commit_hangs(&faults);
    let began = Instant::now();
    for ticket in 1..4 {
        harness.take(ticket, &ticket.to_string()).expect("room");
    }
    assert_eq!(harness.take(4, "4"), Err(SendError::QueueFull));
    assert!(began.elapsed() < Duration::from_secs(1));
    std::thread::sleep(Duration::from_millis(20));
    assert!(harness.writer.working_for().expect("at work") >= Duration::from_millis(20));
    faults.resume_commits();
    for ticket in 0..4 {
        assert_eq!(harness.committed().0, ticket);
    }
    harness.take(4, "4").expect("room again");
    assert_eq!(harness.committed().0, 4);
    faults.hang_commits();
    harness.take(5, "5").expect("queued");
    wait_until_commit_hangs(&faults);
    assert_eq!(harness.writer.stop(Duration::from_millis(20)), Err(StillBusy));
    faults.resume_commits();
    assert!(
        matches!(harness.events.recv_timeout(TIMEOUT), Ok(WriterEvent::Committed { ticket: 5, .. })),
        "written after the stop timed out"
    );
}

#[test]
fn queued_bytes_are_bounded_except_for_a_single_large_ticket() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(WriterConfig { queue_bytes: 10_000, ..config() }, &store, &faults);
    let mut large = write(1, "note", None, Claim::None);
    large.row.body = "x".repeat(20_000);
    let mut late = large.clone();
    late.row.at = Time(u64::MAX);
    assert_eq!(harness.writer.send(9, vec![late]), Err(SendError::Unstorable));
    faults.hang_commits();
    harness.writer.send(0, vec![large.clone()]).expect("accepted while the queue is empty");
    wait_until_commit_hangs(&faults);
    harness.writer.send(1, vec![large.clone()]).expect("the queue is empty again");
    assert_eq!(harness.writer.send(2, vec![large]), Err(SendError::QueueFull));
    faults.resume_commits();
    assert_eq!((harness.committed().0, harness.committed().0), (0, 1));
}

#[test]
fn slow_store_shows_its_working_time_and_commits() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(config(), &store, &faults);
    assert_eq!(harness.writer.working_for(), None);
    faults.delay_commits(Duration::from_millis(50));
    let began = Instant::now();
    harness.take(1, "a").expect("queued");
    assert!(began.elapsed() < Duration::from_millis(40), "the caller does not wait");
    assert_eq!(harness.committed(), (1, vec![1]));
    assert!(began.elapsed() >= Duration::from_millis(50));
}

#[test]
fn failure_is_reported_and_its_outcome_once_the_store_is_back() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(config(), &store, &faults);
    for (ticket, fault, outcome) in [
        (1, Fault::Before, CommitOutcome::Nothing),
        (2, Fault::Lost, CommitOutcome::Unknown),
        (3, Fault::Landed, CommitOutcome::Unknown),
    ] {
        faults.script([fault]);
        harness.take(ticket, &ticket.to_string()).expect("queued");
        assert_eq!(harness.failed(), (ticket, "io", outcome));
        assert_eq!(harness.down(), "io");
        match fault {
            Fault::Lost => assert!(matches!(harness.next(), WriterEvent::Lost { ticket: 2 })),
            Fault::Landed => assert_eq!(harness.committed(), (3, vec![1])),
            _ => {}
        }
        harness.back();
    }
    harness.take(4, "4").expect("queued");
    assert_eq!(harness.committed(), (4, vec![2]));
    assert_eq!(verify(&store, &plain_sum, None).expect("verifies").rows, 2);
}

#[test]
fn rejected_rows_of_an_unacknowledged_durable_commit_are_reported() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(config(), &store, &faults);
    harness.writer.send(1, vec![set(1, &key("a"), KeyState::InDoubt)]).expect("queued");
    harness.committed();
    faults.hang_commits();
    harness.take(2, "b").expect("queued");
    wait_until_commit_hangs(&faults);
    faults.script([Fault::None, Fault::Landed]);
    harness.take(3, "a").expect("queued");
    harness.take(4, "c").expect("queued");
    harness.take(5, "c").expect("queued");
    faults.resume_commits();
    assert_eq!(harness.committed(), (2, vec![2]));
    for ticket in 3..6 {
        assert_eq!(harness.failed(), (ticket, "io", CommitOutcome::Unknown));
    }
    harness.down();
    assert!(matches!(harness.next(), WriterEvent::ClaimsRejected { ticket: 3, rows }
            if rows == [Err(ClaimRejection::Taken(KeyState::InDoubt))]));
    assert_eq!(harness.committed(), (4, vec![3]));
    assert!(matches!(harness.next(), WriterEvent::ClaimsRejected { ticket: 5, rows }
            if rows == [Err(ClaimRejection::Taken(KeyState::InFlight))]));
    assert_eq!(harness.back(), 3);
}

#[test]
fn different_store_after_a_failure_is_rejected() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let original_in_place = Arc::new(Mutex::new(true));
    let (original, opener_view, wrap) = (store.clone(), Arc::clone(&original_in_place), faults.clone());
    let mut openings = Vec::new();
    let opener: Opener = Box::new(move |opening| {
        openings.push(opening);
        assert_eq!(opening == Opening::First, openings.len() == 1);
        let original_in_place = *opener_view.lock().expect("lock");
        Ok(wrap.wrap(Box::new(if original_in_place { original.clone() } else { MemoryStore::new() })))
    });
    let harness = WriterHarness::start(config(), opener);
    harness.back();
    harness.take(1, "a").expect("queued");
    harness.committed();
    *original_in_place.lock().expect("lock") = false;
    faults.script([Fault::Before]);
    harness.take(2, "b").expect("queued");
    assert_eq!(harness.failed(), (2, "io", CommitOutcome::Nothing));
    assert_eq!(harness.down(), "io");
    assert_eq!(harness.down(), "cut", "the other store does not have row 1");
    harness.take(3, "c").expect("queued");
    assert_eq!(harness.failed(), (3, "cut", CommitOutcome::Nothing));
    *original_in_place.lock().expect("lock") = true;
    assert_eq!(harness.back(), 1);
}

#[test]
fn stopped_writer_writes_its_queue_and_ends() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(WriterConfig { batch_rows: 10, ..config() }, &store, &faults);
    faults.hang_commits();
    for ticket in 0..100 {
        harness.take(ticket, &ticket.to_string()).expect("queued");
    }
    faults.resume_commits();
    assert_eq!(harness.stop().len(), 100);
    assert_eq!(all_rows(&store, 0).len(), 100);
    let sizes: Vec<Step> =
        faults.steps().into_iter().filter(|step| matches!(step, Step::Began(rows) if *rows > 10)).collect();
    assert_eq!(sizes, [], "no commit is larger than a batch");
}

#[test]
fn maintenance_runs_between_commits() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let harness = WriterHarness::in_memory(WriterConfig { maintenance_step: 3, ..config() }, &store, &faults);
    for ticket in 0..10 {
        harness
            .writer
            .send(ticket, vec![set(ticket, &key(format!("{ticket}")), KeyState::Served)])
            .expect("queued");
        harness.committed();
    }
    harness.writer.forget_served(20, Time(8)).expect("queued");
    assert!(matches!(harness.next(), WriterEvent::Forgotten { ticket: 20, keys: 8 }));
    harness.writer.prune(21, Time(7), Box::new(pruned)).expect("queued");
    assert!(
        matches!(harness.next(), WriterEvent::Pruned { ticket: 21, pruned: done } if done.rows == 7 && !done.more)
    );
    harness.take(22, "more").expect("queued");
    assert_eq!(harness.committed(), (22, vec![14]));
    assert_eq!(verify(&store, &plain_sum, None).expect("verifies").pruned, 7);
}

#[test]
fn store_that_fails_to_open_is_opened_again_after_a_backoff() {
    let tries = Arc::new(Mutex::new(0));
    let counting = Arc::clone(&tries);
    let harness = WriterHarness::start(
        config(),
        Box::new(move |_| {
            let mut tries = counting.lock().expect("lock");
            *tries += 1;
            match *tries {
                1 | 2 => Err(StoreError::Io("planted".into())),
                3 => Err(StoreError::Full("planted".into())),
                _ => Ok(Box::new(MemoryStore::new())),
            }
        }),
    );
    assert_eq!((harness.down(), harness.down()), ("io", "full"), "each kind of failure is reported once");
    assert_eq!(harness.back(), 0);
    assert_eq!(*tries.lock().expect("lock"), 4);
}
