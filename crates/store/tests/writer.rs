//! The writer's thread: what waits goes together, nobody waits for it, and it comes back by itself.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::writer_harness::{config, until_it_hangs, WriterHarness, TIMEOUT};
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
    let host = WriterHarness::in_memory(config(), &store, &faults);
    faults.freeze();
    host.take(1, "a").expect("queued");
    until_it_hangs(&faults);
    host.take(2, "b").expect("queued");
    host.take(3, "a").expect("queued");
    host.writer.send(4, vec![take(4, &key("c")), take(5, &key("b")), free(6, &key("c"))]).expect("queued");
    host.take(5, "c").expect("queued");
    faults.thaw();
    assert_eq!(host.committed(), (1, vec![1]));
    assert_eq!(host.committed(), (2, vec![2]));
    let taken = Err(ClaimRejection::Taken(KeyState::InFlight));
    assert!(matches!(host.next(), WriterEvent::ClaimsRejected { ticket: 3, rows } if rows == [taken]));
    assert!(
        matches!(host.next(), WriterEvent::ClaimsRejected { ticket: 4, rows } if rows == [Ok(3), taken, Ok(4)])
    );
    assert_eq!(host.committed(), (5, vec![5]));
    assert_eq!(faults.steps(), [Step::Began(1), Step::Durable(1), Step::Began(6), Step::Durable(4)]);
    assert!(host.stop().is_empty());
    assert!(all_rows(&store, 0).iter().all(|row| row.run == 7));
}

#[test]
fn acknowledgement_follows_its_commit() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let noting = faults.clone();
    let around = faults.clone();
    let notify = Box::new(move |event: WriterEvent| {
        noting.note(format!("{event:?}").split(' ').next().unwrap_or_default())
    });
    let opener: Opener = Box::new(move |_| Ok(around.around(Box::new(store.clone()))));
    let writer = Writer::start(config(), opener, Arc::new(plain_sum), notify).expect("a thread");
    for ticket in 0..100 {
        writer.send(ticket, vec![take(ticket, &key(format!("{ticket}")))]).expect("queued");
    }
    writer.stop(TIMEOUT).expect("stops");
    let (mut durable, mut answered) = (0, 0);
    for step in faults.steps() {
        match step {
            Step::Durable(rows) => durable += rows,
            Step::Noted(what) if what == "Committed" => {
                answered += 1;
                assert!(answered <= durable, "answer {answered} before its commit");
            }
            _ => {}
        }
    }
    assert_eq!((durable, answered), (100, 100));
}

#[test]
fn hung_store_blocks_no_caller_and_its_queue_is_bounded() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let host = WriterHarness::in_memory(WriterConfig { queue: 3, ..config() }, &store, &faults);
    faults.freeze();
    host.take(0, "first").expect("queued");
    until_it_hangs(&faults);
    let began = Instant::now();
    for ticket in 1..4 {
        host.take(ticket, &ticket.to_string()).expect("room");
    }
    assert_eq!(host.take(4, "4"), Err(SendError::QueueFull));
    assert!(began.elapsed() < Duration::from_secs(1));
    std::thread::sleep(Duration::from_millis(20));
    assert!(host.writer.working_for().expect("at work") >= Duration::from_millis(20));
    faults.thaw();
    for ticket in 0..4 {
        assert_eq!(host.committed().0, ticket);
    }
    host.take(4, "4").expect("room again");
    assert_eq!(host.committed().0, 4);
    faults.freeze();
    host.take(5, "5").expect("queued");
    until_it_hangs(&faults);
    assert_eq!(host.writer.stop(Duration::from_millis(20)), Err(StillBusy));
    faults.thaw();
    assert!(
        matches!(host.events.recv_timeout(TIMEOUT), Ok(WriterEvent::Committed { ticket: 5, .. })),
        "written all the same"
    );
}

#[test]
fn queued_bytes_are_bounded() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let host = WriterHarness::in_memory(WriterConfig { queue_bytes: 10_000, ..config() }, &store, &faults);
    let mut large = write(1, "note", None, Claim::None);
    large.row.body = "x".repeat(20_000);
    let mut late = large.clone();
    late.row.at = Time(u64::MAX);
    assert_eq!(host.writer.send(9, vec![late]), Err(SendError::Unstorable));
    faults.freeze();
    host.writer.send(0, vec![large.clone()]).expect("alone it may go");
    until_it_hangs(&faults);
    host.writer.send(1, vec![large.clone()]).expect("alone again");
    assert_eq!(host.writer.send(2, vec![large]), Err(SendError::QueueFull));
    faults.thaw();
    assert_eq!((host.committed().0, host.committed().0), (0, 1));
}

#[test]
fn slow_store_is_visible_and_works() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let host = WriterHarness::in_memory(config(), &store, &faults);
    assert_eq!(host.writer.working_for(), None);
    faults.slow(Duration::from_millis(50));
    let began = Instant::now();
    host.take(1, "a").expect("queued");
    assert!(began.elapsed() < Duration::from_millis(40), "the caller does not wait");
    assert_eq!(host.committed(), (1, vec![1]));
    assert!(began.elapsed() >= Duration::from_millis(50));
}

#[test]
fn failure_is_reported_and_its_outcome_once_the_store_is_back() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let host = WriterHarness::in_memory(config(), &store, &faults);
    for (ticket, fault, outcome) in [
        (1, Fault::Before, CommitOutcome::Nothing),
        (2, Fault::Lost, CommitOutcome::Unknown),
        (3, Fault::Landed, CommitOutcome::Unknown),
    ] {
        faults.script([fault]);
        host.take(ticket, &ticket.to_string()).expect("queued");
        assert_eq!(host.failed(), (ticket, "io", outcome));
        assert_eq!(host.down(), "io");
        match fault {
            Fault::Lost => assert!(matches!(host.next(), WriterEvent::Lost { ticket: 2 })),
            Fault::Landed => assert_eq!(host.committed(), (3, vec![1])),
            _ => {}
        }
        host.back();
    }
    host.take(4, "4").expect("queued");
    assert_eq!(host.committed(), (4, vec![2]));
    assert_eq!(verify(&store, &plain_sum, None).expect("verifies").rows, 2);
}

#[test]
fn rejected_rows_of_an_unacknowledged_durable_commit_are_reported() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let host = WriterHarness::in_memory(config(), &store, &faults);
    host.writer.send(1, vec![set(1, &key("a"), KeyState::InDoubt)]).expect("queued");
    host.committed();
    faults.freeze();
    host.take(2, "b").expect("queued");
    until_it_hangs(&faults);
    faults.script([Fault::None, Fault::Landed]);
    host.take(3, "a").expect("queued");
    host.take(4, "c").expect("queued");
    host.take(5, "c").expect("queued");
    faults.thaw();
    assert_eq!(host.committed(), (2, vec![2]));
    for ticket in 3..6 {
        assert_eq!(host.failed(), (ticket, "io", CommitOutcome::Unknown));
    }
    host.down();
    assert!(
        matches!(host.next(), WriterEvent::ClaimsRejected { ticket: 3, rows } if rows == [Err(ClaimRejection::Taken(KeyState::InDoubt))])
    );
    assert_eq!(host.committed(), (4, vec![3]));
    assert!(
        matches!(host.next(), WriterEvent::ClaimsRejected { ticket: 5, rows } if rows == [Err(ClaimRejection::Taken(KeyState::InFlight))])
    );
    assert_eq!(host.back(), 3);
}

#[test]
fn other_store_in_its_place_is_not_accepted() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let right = Arc::new(Mutex::new(true));
    let (real, asked, around) = (store.clone(), Arc::clone(&right), faults.clone());
    let mut openings = Vec::new();
    let opener: Opener = Box::new(move |opening| {
        openings.push(opening);
        assert_eq!(opening == Opening::First, openings.len() == 1);
        let right = *asked.lock().expect("lock");
        Ok(around.around(Box::new(if right { real.clone() } else { MemoryStore::new() })))
    });
    let host = WriterHarness::start(config(), opener);
    host.back();
    host.take(1, "a").expect("queued");
    host.committed();
    *right.lock().expect("lock") = false;
    faults.script([Fault::Before]);
    host.take(2, "b").expect("queued");
    assert_eq!(host.failed(), (2, "io", CommitOutcome::Nothing));
    assert_eq!(host.down(), "io");
    assert_eq!(host.down(), "cut", "it knows nothing of row 1");
    host.take(3, "c").expect("queued");
    assert_eq!(host.failed(), (3, "cut", CommitOutcome::Nothing));
    *right.lock().expect("lock") = true;
    assert_eq!(host.back(), 1);
}

#[test]
fn stopped_writer_writes_its_queue_and_ends() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let host = WriterHarness::in_memory(WriterConfig { batch_rows: 10, ..config() }, &store, &faults);
    faults.freeze();
    for ticket in 0..100 {
        host.take(ticket, &ticket.to_string()).expect("queued");
    }
    faults.thaw();
    assert_eq!(host.stop().len(), 100);
    assert_eq!(all_rows(&store, 0).len(), 100);
    let sizes: Vec<Step> =
        faults.steps().into_iter().filter(|step| matches!(step, Step::Began(rows) if *rows > 10)).collect();
    assert_eq!(sizes, [], "never more than the batch");
}

#[test]
fn maintenance_runs_between_commits() {
    let (store, faults) = (MemoryStore::new(), Faults::new());
    let host = WriterHarness::in_memory(WriterConfig { maintenance_step: 3, ..config() }, &store, &faults);
    for ticket in 0..10 {
        host.writer
            .send(ticket, vec![set(ticket, &key(format!("{ticket}")), KeyState::Served)])
            .expect("queued");
        host.committed();
    }
    host.writer.forget_served(20, Time(8)).expect("queued");
    assert!(matches!(host.next(), WriterEvent::Forgotten { ticket: 20, keys: 8 }));
    host.writer.prune(21, Time(7), Box::new(pruned)).expect("queued");
    assert!(
        matches!(host.next(), WriterEvent::Pruned { ticket: 21, pruned: done } if done.rows == 7 && !done.more)
    );
    host.take(22, "more").expect("queued");
    assert_eq!(host.committed(), (22, vec![14]));
    assert_eq!(verify(&store, &plain_sum, None).expect("verifies").pruned, 7);
}

#[test]
fn store_that_fails_to_open_is_opened_later() {
    let tries = Arc::new(Mutex::new(0));
    let counting = Arc::clone(&tries);
    let host = WriterHarness::start(
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
    assert_eq!((host.down(), host.down()), ("io", "full"), "each kind once");
    assert_eq!(host.back(), 0);
    assert_eq!(*tries.lock().expect("lock"), 4);
}
