//! Tests of `station` that need its private items.

use super::*;

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn demand(work_ms: f64, io_ms: u64) -> Demand {
    Demand { work_ms, io: Micros(io_ms * 1_000) }
}

fn began(id: u64, at: u64) -> ServiceEvent {
    ServiceEvent::Began(Completion { id, at: ms(at) })
}

fn served(id: u64, at: u64) -> ServiceEvent {
    ServiceEvent::Served(Completion { id, at: ms(at) })
}

#[test]
fn a_wait_holds_the_slot_and_no_core() {
    let mut station = ServiceModel::new(CpuCapacity::warm(1, 1.0), None, 8, 0);
    assert_eq!(station.arrive(ms(0), 1, demand(10.0, 30)), Admission::Began);
    assert_eq!(station.arrive(ms(0), 2, demand(10.0, 0)), Admission::Began);
    assert_eq!(station.next_event(ms(0)), Some(ms(20)));
    assert_eq!(station.advance(ms(30)), [served(2, 20)]);
    assert_eq!((station.in_service(), station.next_event(ms(30))), (1, Some(ms(50))));
    station.arrive(ms(30), 3, demand(10.0, 0));
    assert_eq!(station.advance(ms(60)), [served(3, 40), served(1, 50)], "it had the core to itself");
}

#[test]
fn slots_then_the_queue_fill_up_and_then_nothing_is_taken() {
    let mut station = ServiceModel::new(CpuCapacity::warm(1, 1.0), None, 1, 1);
    assert_eq!(station.arrive(ms(0), 1, demand(10.0, 0)), Admission::Began);
    assert_eq!(station.arrive(ms(0), 2, demand(10.0, 0)), Admission::Queued);
    assert_eq!(station.arrive(ms(0), 3, demand(10.0, 0)), Admission::Full);
    assert_eq!(station.advance(ms(99)), [served(1, 10), began(2, 10), served(2, 20)]);
    assert_eq!((station.in_service(), station.queued(), station.next_event(ms(99))), (0, 0, None));
}

#[test]
fn what_is_cancelled_makes_room_for_who_waits() {
    let mut station = ServiceModel::new(CpuCapacity::warm(1, 1.0), None, 1, 2);
    for id in 1..=3 {
        station.arrive(ms(0), id, demand(10.0, 10));
    }
    station.cancel(ms(5), 1);
    station.cancel(ms(5), 2);
    assert_eq!(station.next_event(ms(5)), Some(ms(5)));
    assert_eq!(station.advance(ms(5)), [began(3, 5)]);
    station.cancel(ms(20), 3); // in its wait
    assert_eq!((station.advance(ms(99)).len(), station.in_service()), (0, 0));
}

/// However coarsely it is looked at, the same happens at the same moments.
#[test]
fn the_steps_do_not_depend_on_how_often_it_is_looked_at() {
    let run = |every: u64| {
        let mut station = ServiceModel::new(CpuCapacity::warm(2, 1.0), None, 3, 20);
        for id in 0..12 {
            station.arrive(ms(0), id, demand(3.0 + id as f64, id % 4));
        }
        (1..=200 / every).flat_map(|n| station.advance(ms(n * every))).collect::<Vec<_>>()
    };
    assert_eq!(run(1).len(), 21);
    assert_eq!(run(1), run(200));
    assert_eq!(run(1), run(8));
}
