//! Tests of `processor` that need its private items.

use super::*;
use shaletide_types::Micros;

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn ends(processor: &mut Processor) -> Vec<(u64, u64)> {
    let done = processor.advance(Time(3_600_000_000));
    done.iter().map(|f| (f.id, f.at.0)).collect()
}

#[test]
fn single_job_takes_its_work_divided_by_the_speed() {
    let mut processor = Processor::new(CpuCapacity::warm(4, 2.0), None);
    processor.arrive(ms(100), 1, 30.0);
    assert_eq!(processor.next_end(ms(100)), Some(ms(115)), "a job runs on one core");
    assert_eq!(processor.advance(Time(114_999)), []);
    assert_eq!(processor.advance(ms(115)), [Completion { id: 1, at: ms(115) }]);
    assert_eq!((processor.next_end(ms(115)), processor.in_service()), (None, 0));
}

#[test]
fn two_equal_jobs_on_one_core_take_twice_as_long() {
    let mut processor = Processor::new(CpuCapacity::warm(1, 1.0), None);
    processor.arrive(ms(0), 1, 20.0);
    processor.arrive(ms(0), 2, 20.0);
    assert_eq!(ends(&mut processor), [(1, 40_000), (2, 40_000)]);
}

#[test]
fn jobs_up_to_the_number_of_cores_run_at_full_speed() {
    let mut processor = Processor::new(CpuCapacity::warm(3, 1.0), None);
    for id in 0..3 {
        processor.arrive(ms(0), id, 20.0);
    }
    assert_eq!(ends(&mut processor), [(0, 20_000), (1, 20_000), (2, 20_000)]);
}

#[test]
fn six_jobs_on_four_cores_share_them_evenly() {
    let mut processor = Processor::new(CpuCapacity::warm(4, 1.0), None);
    for id in 0..6 {
        processor.arrive(ms(0), id, 20.0);
    }
    assert!(ends(&mut processor).iter().all(|(_, at)| *at == 30_000));
}

/// The first job runs alone for 10 ms, both share the core until the first ends, and the second ends alone.
#[test]
fn later_job_slows_only_the_remaining_work() {
    let mut processor = Processor::new(CpuCapacity::warm(1, 1.0), None);
    processor.arrive(ms(0), 1, 30.0);
    processor.arrive(ms(10), 2, 30.0);
    assert_eq!(ends(&mut processor), [(1, 50_000), (2, 60_000)]);
}

#[test]
fn cancelled_job_releases_its_share() {
    let mut processor = Processor::new(CpuCapacity::warm(1, 1.0), None);
    processor.arrive(ms(0), 1, 30.0);
    processor.arrive(ms(0), 2, 30.0);
    assert!(processor.cancel(ms(20), 2));
    assert!(!processor.cancel(ms(20), 2));
    assert_eq!(ends(&mut processor), [(1, 40_000)], "20 ms at half the speed, 20 ms alone");
}

/// The speed during the ramp is 0.5 + t / 2, so 375 ms of work end at 0.5 t + t^2 / 4 = 0.375.
#[test]
fn cold_backend_runs_jobs_at_the_speed_of_its_ramp() {
    let capacity =
        CpuCapacity { cores: 1, speed: 1.0, initial_capacity_fraction: 0.5, ramp: Micros(1_000_000) };
    let mut processor = Processor::new(capacity, Some(ms(7_000)));
    processor.arrive(ms(7_000), 1, 375.0);
    let expected = 7_000_000.0 + 1e6 * ((1.0f64 + 1.5).sqrt() - 1.0);
    assert_eq!(processor.next_end(ms(7_000)), Some(Time(expected.ceil() as u64)));
    processor.arrive(ms(7_000), 2, 1_000_000.0);
    processor.cancel(ms(7_000), 1);
    processor.arrive(ms(9_000), 3, 10.0);
    assert_eq!(
        processor.advance(ms(9_021)),
        [Completion { id: 3, at: ms(9_020) }],
        "two jobs on a warm core"
    );
}

#[test]
fn slowdown_applies_to_jobs_in_service() {
    let mut processor = Processor::new(CpuCapacity::warm(1, 1.0), None);
    processor.arrive(ms(0), 1, 30.0);
    processor.set_slowdown(ms(10), 4.0);
    assert_eq!(processor.next_end(ms(10)), Some(ms(90)));
    processor.set_slowdown(ms(50), 1.0);
    assert_eq!(ends(&mut processor), [(1, 60_000)]);
}

#[test]
fn job_that_ended_before_an_arrival_is_still_reported() {
    let mut processor = Processor::new(CpuCapacity::warm(1, 1.0), None);
    processor.arrive(ms(0), 1, 5.0);
    processor.arrive(ms(50), 2, 5.0);
    assert_eq!(processor.next_end(ms(50)), Some(ms(50)), "the first job is still to be reported");
    assert_eq!(ends(&mut processor), [(1, 5_000), (2, 55_000)]);
}

/// The mean time in an M/D/1 queue with processor sharing is `work / (1 - load)` for any distribution of the work.
#[test]
fn mean_time_at_half_load_is_twice_the_work() {
    use rand_core::{RngCore, SeedableRng};
    let mut rng = rand_pcg::Pcg32::seed_from_u64(5);
    let mut processor = Processor::new(CpuCapacity::warm(1, 1.0), None);
    let (mut now, mut arrivals, mut total) = (0.0, Vec::new(), 0.0);
    for id in 0..200_000 {
        let uniform = (f64::from(rng.next_u32()) + 0.5) / 4_294_967_296.0;
        now -= uniform.ln() * 20_000.0;
        arrivals.push(now);
        processor.arrive(Time(now as u64), id, 10.0);
    }
    let done = processor.advance(Time(u64::MAX / 4));
    for finished in &done {
        total += finished.at.0 as f64 - arrivals[finished.id as usize];
    }
    let mean_ms = total / 1e3 / done.len() as f64;
    assert_eq!(done.len(), 200_000);
    assert!((mean_ms - 20.0).abs() < 0.6, "{mean_ms}");
}
