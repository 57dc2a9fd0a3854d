//! Tests of `service_model` that need its private items.

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
fn io_wait_holds_the_slot_and_no_core() {
    let mut model = ServiceModel::new(CpuCapacity::warm(1, 1.0), None, 8, 0);
    assert_eq!(model.arrive(ms(0), 1, demand(10.0, 30)), Admission::Began);
    assert_eq!(model.arrive(ms(0), 2, demand(10.0, 0)), Admission::Began);
    assert_eq!(model.next_event(ms(0)), Some(ms(20)));
    assert_eq!(model.advance(ms(30)), [served(2, 20)]);
    assert_eq!((model.in_service(), model.next_event(ms(30))), (1, Some(ms(50))));
    model.arrive(ms(30), 3, demand(10.0, 0));
    assert_eq!(model.advance(ms(60)), [served(3, 40), served(1, 50)], "the third request had the core alone");
}

#[test]
fn request_is_rejected_once_slots_and_queue_are_full() {
    let mut model = ServiceModel::new(CpuCapacity::warm(1, 1.0), None, 1, 1);
    assert_eq!(model.arrive(ms(0), 1, demand(10.0, 0)), Admission::Began);
    assert_eq!(model.arrive(ms(0), 2, demand(10.0, 0)), Admission::Queued);
    assert_eq!(model.arrive(ms(0), 3, demand(10.0, 0)), Admission::Full);
    assert_eq!(model.advance(ms(99)), [served(1, 10), began(2, 10), served(2, 20)]);
    assert_eq!((model.in_service(), model.queued(), model.next_event(ms(99))), (0, 0, None));
}

#[test]
fn cancelled_request_releases_its_slot_to_a_queued_one() {
    let mut model = ServiceModel::new(CpuCapacity::warm(1, 1.0), None, 1, 2);
    for id in 1..=3 {
        model.arrive(ms(0), id, demand(10.0, 10));
    }
    model.cancel(ms(5), 1);
    model.cancel(ms(5), 2);
    assert_eq!(model.next_event(ms(5)), Some(ms(5)));
    assert_eq!(model.advance(ms(5)), [began(3, 5)]);
    model.cancel(ms(20), 3); // in its I/O wait
    assert_eq!((model.advance(ms(99)).len(), model.in_service()), (0, 0));
}

#[test]
fn events_do_not_depend_on_how_often_the_model_is_advanced() {
    let run = |every: u64| {
        let mut model = ServiceModel::new(CpuCapacity::warm(2, 1.0), None, 3, 20);
        for id in 0..12 {
            model.arrive(ms(0), id, demand(3.0 + id as f64, id % 4));
        }
        (1..=200 / every).flat_map(|n| model.advance(ms(n * every))).collect::<Vec<_>>()
    };
    assert_eq!(run(1).len(), 21);
    assert_eq!(run(1), run(200));
    assert_eq!(run(1), run(8));
}
