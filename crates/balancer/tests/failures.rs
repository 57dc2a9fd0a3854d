//! One small test for each behaviour and each failure found, through the public interface.

mod common;
use common::{backend, class, Host};
use shaletide_balancer::*;

fn fleet(count: u32) -> Vec<BackendEntry> {
    (0..count).map(|i| backend(i, 0, 0)).collect()
}

fn config(classes: Vec<Class>) -> Config {
    Config { classes, ..Config::example() }
}

fn host(cfg: Config, list: Vec<BackendEntry>) -> Host {
    let mut host = Host::new(cfg, 11);
    host.members(EndpointUpdate::Snapshot, list);
    host
}

/// Requests one by one, each served after a time that may depend on its backend.
fn serve(host: &mut Host, count: usize, class: usize, time: impl Fn(u32) -> u64) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        let id = host.arrive(class, 900_000);
        chosen.extend(host.sent_to(id));
        host.advance(host.sent_to(id).first().map_or(5_000, |b| time(*b)));
        host.end(id, 0, Outcome::Ok);
    }
    chosen
}

#[test]
fn an_unsound_configuration_is_a_typed_error() {
    let bad = |change: fn(&mut Config)| {
        let mut cfg = Config::example();
        change(&mut cfg);
        Balancer::new(cfg, 1).err().map(|e| e.field)
    };
    assert_eq!(bad(|c| c.proxies = 0), Some("proxies"));
    assert_eq!(bad(|c| c.classes.clear()), Some("classes"));
    assert_eq!(bad(|c| c.classes[0].latency_objective = Micros(0)), Some("aim"));
    assert_eq!(bad(|c| c.classes[0].priority_weight = f64::NAN), Some("worth"));
    assert_eq!(bad(|c| c.classes[0].late_weight_fraction = 1.5), Some("late_worth"));
    assert_eq!(bad(|c| c.tenants.push(Tenant { quota_per_s: -1.0 })), Some("quota_per_s"));
    assert_eq!(bad(|c| c.max_attempts = 0), Some("max_attempts"));
    assert_eq!(bad(|c| c.min_timer_interval = Micros(0)), Some("tick"));
    assert_eq!(bad(|c| c.initial_capacity_fraction = -0.1), Some("cold_from"));
    assert_eq!(bad(|c| c.overload_multiple = f64::INFINITY), Some("fall_multiple"));
    assert_eq!(bad(|_| ()), None);
}

#[test]
fn an_empty_fleet_refuses_in_time() {
    let mut host =
        host(config(vec![class(Idempotency::Safe), class(Idempotency::NonIdempotent)]), Vec::new());
    let ids = [host.arrive(0, 700_000), host.arrive(1, 700_000)];
    // Later days: a refusal after half of the time, with nothing sent, costs as much as a third of a request.
    host.advance(345_000);
    assert!(ids.iter().all(|id| host.requests[id].answer == Some("refused")));
}

#[test]
fn a_short_request_after_idleness_is_answered_in_time() {
    // Found by the invariants: the timer once ran ten ticks long while nothing was in hand.
    let mut host = host(Config::example(), Vec::new());
    host.advance(1_000_000);
    let id = host.arrive(0, 6_000);
    host.advance(20_000);
    assert_eq!(host.requests[&id].answer, Some("refused"));
}

#[test]
fn at_light_load_the_faster_kind_takes_nearly_all() {
    let list = (0..6).map(|i| backend(i, 0, i % 2)).collect();
    let mut host = host(Config { proxies: 1, ..Config::example() }, list);
    let time = |b: u32| if b % 2 == 0 { 20_000 } else { 80_000 };
    serve(&mut host, 150, 0, time);
    let chosen = serve(&mut host, 100, 0, time);
    let fast = chosen.iter().filter(|b| *b % 2 == 0).count();
    assert!(fast >= 95, "{fast} of 100 went to the fast kind");
}

#[test]
fn inside_a_kind_the_draw_is_even() {
    let mut host = host(Config { proxies: 1, ..Config::example() }, fleet(4));
    let chosen = serve(&mut host, 800, 0, |_| 20_000);
    for b in 0..4 {
        let part = chosen.iter().filter(|c| **c == b).count();
        assert!((150..=250).contains(&part), "backend {b} got {part} of 800");
    }
}

#[test]
fn a_silent_backend_gets_nothing_new() {
    let mut host = host(config(vec![class(Idempotency::Safe)]), fleet(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let ids = host.burst(6, 0, 900_000);
    let hung = host.sent_to(ids[0])[0];
    assert!(ids.iter().all(|id| host.sent_to(*id).len() == 1));
    // Later days: one answer that never came kept its room, and a backend with room for one got nothing more.
    let mut unanswered = 0;
    for id in ids {
        let there = host.sent_to(id)[0] == hung;
        unanswered += usize::from(there);
        if !there {
            host.end(id, 0, Outcome::Ok);
        }
    }
    host.advance(100_000);
    for _ in 0..100 {
        let id = host.arrive(0, 900_000);
        if host.sent_to(id)[0] == hung {
            unanswered += 1;
            host.advance(100_000);
            assert_eq!(host.sent_to(id).len(), 1, "age alone sent a copy: such copies crowd every backend");
        } else {
            host.advance(5_000);
            host.end(id, 0, Outcome::Ok);
        }
    }
    assert_eq!(unanswered, 2, "one may be lost, two are silence");
}

/// Later days: a backend never answered one class and served the others; two in a row of each went there still.
#[test]
fn a_backend_silent_for_one_class_serves_the_others() {
    let mut host = host(config(vec![class(Idempotency::Safe), class(Idempotency::Safe)]), fleet(4));
    serve(&mut host, 100, 0, |_| 10_000);
    serve(&mut host, 100, 1, |_| 10_000);
    let (mut unanswered, mut served) = (0, 0);
    for n in 0..120 {
        let id = host.arrive(n % 2, 900_000);
        let there = host.sent_to(id)[0] == 2;
        if there && n % 2 == 1 {
            unanswered += 1;
            host.advance(100_000);
        } else {
            served += usize::from(there);
            host.advance(1_000);
            host.end(id, 0, Outcome::Ok);
        }
    }
    assert!((2..=4).contains(&unanswered), "two are silence, and again at each trial: {unanswered}");
    assert!(served > 10, "the other class goes on there: {served}");
}

/// Later days: at four times the load one answer in a hundred never came, and each waited out its deadline.
#[test]
fn where_most_attempts_of_some_age_are_lost_they_get_a_copy() {
    for lost in [true, false] {
        let mut host = host(config(vec![class(Idempotency::Safe)]), fleet(6));
        serve(&mut host, 100, 0, |_| 10_000);
        let mut copied = Vec::new();
        for n in 0..150 {
            let id = host.arrive(0, 700_000);
            host.advance([300_000, 100_000, 100_000].get(n % 10).copied().unwrap_or(10_000));
            if n % 10 == 0 {
                copied.push(host.sent_to(id).len() == 2);
            }
            if n % 10 == 0 && lost && host.sent_to(id).len() == 1 {
                host.advance(400_000);
            } else {
                host.end(id, host.sent_to(id).len() - 1, Outcome::Ok);
            }
        }
        assert!(!copied[..5].contains(&true), "not before it is known: {copied:?}");
        assert_eq!(copied[10..].contains(&true), lost, "slow ones that are answered need none: {copied:?}");
        assert_eq!(copied[10..].contains(&false), !lost, "{copied:?}");
    }
}

#[test]
fn once_a_backend_is_ejected_its_other_requests_get_a_copy() {
    for copies in [true, false] {
        let cfg = Config { hedging: copies, proxies: 1, ..config(vec![class(Idempotency::Safe)]) };
        let mut host = host(cfg, fleet(1));
        serve(&mut host, 100, 0, |_| 10_000);
        host.advance(5_000);
        let two = [host.arrive(0, 900_000), host.arrive(0, 900_000)];
        host.members(EndpointUpdate::Snapshot, fleet(6));
        host.advance(20_000);
        host.end(two[0], 0, Outcome::TimedOut);
        host.advance(20_000);
        assert_eq!(host.sent_to(two[1]).len(), 2, "copies {copies}");
        let called_back = host.requests[&two[1]].tries[0].outcome == Some(Outcome::Cancelled);
        assert_eq!(called_back, !copies, "where no copy may run beside it the first is called back");
    }
}

#[test]
fn the_rooms_of_few_proxies_on_a_backend_add_up_to_the_hold() {
    // Incident i962b3c: when each rounded by its own coin, some backends were crowded and others idle.
    let mut held = [0; 6];
    for position in 0..3 {
        let mut host = host(Config { proxies: 3, position, ..Config::example() }, fleet(6));
        host.burst(40, 0, 900_000);
        let tries = host.requests.values().flat_map(|r| &r.tries);
        tries.for_each(|t| held[t.backend.0 as usize] += 1);
    }
    assert_eq!(held, [4; 6]);
}

/// A list may tell a size and no cores: what a backend may hold goes by the size, by half of it as cores may be fast.
#[test]
fn what_a_backend_may_hold_goes_by_its_size_where_the_list_tells_no_cores() {
    let held = |weights: [u32; 2], sized: bool, weights_report_load: bool| {
        let list = weights.map(|weight| BackendEntry { weight, ..backend(0, 0, 0) });
        let mut host = Host::new(
            Config { proxies: 1, weights_report_cores: sized, weights_report_load, ..Config::example() },
            11,
        );
        list.into_iter().for_each(|b| host.members(EndpointUpdate::Snapshot, vec![b]));
        let ids: Vec<RequestId> = (0..60).map(|_| host.arrive(0, 900_000)).collect();
        ids.into_iter().filter(|id| !host.sent_to(*id).is_empty()).count()
    };
    assert_eq!(held([8_000, 8_000], true, false), 16, "four a core, of which there are four at least");
    assert_eq!(held([2_500, 3_900], true, false), 4, "this may be one fast core");
    assert_eq!(held([8_000, 8_000], false, false), 4, "a weight that is no size");
    assert_eq!(held([8_000, 2_000], true, true), 16, "live: it was seen to be larger with nothing on it");
}

#[test]
fn a_thin_tenant_inside_its_quota_is_not_taken_for_a_flood() {
    // Full size: a proxy's part of a quota is below one a second; two at once by chance were beyond it.
    let tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut host = host(Config { proxies: 100, tenants, ..Config::example() }, fleet(20));
    let mut refused = 0;
    for _ in 0..30 {
        // Two at once each nine seconds, 0.22 a second of 0.5 due, on a fleet that holds about five each.
        let ids: Vec<RequestId> = (0..2).map(|_| host.arrive_for(0, 8_000_000, Some(TenantId(0)))).collect();
        host.advance(7_000_000);
        refused += ids.iter().filter(|id| host.requests[id].answer == Some("refused")).count();
        ids.iter().for_each(|id| host.end(*id, 0, Outcome::Ok));
        host.advance(2_000_000);
    }
    assert!(refused <= 3, "{refused} of 60 were refused");
}

#[test]
fn an_idle_proxy_sets_hardly_a_timer() {
    // Standing days, ibb5992, ifde279, i0dce2b: a timer every tick at each of a thousand proxies used up the CPU.
    let mut host = host(config(vec![class(Idempotency::Safe)]), fleet(100));
    serve(&mut host, 20, 0, |_| 10_000);
    host.timers_set = 0;
    host.advance(10_000_000);
    assert!(host.timers_set <= 5, "{} timers in ten idle seconds", host.timers_set);
}

#[test]
fn the_slices_of_many_proxies_are_small_and_cover_every_backend_alike() {
    // Full size: with a connection from every proxy to every backend two attempts in three found none free.
    let mut sent = [0; 30];
    for position in 0..300 {
        let mut host = host(Config { proxies: 300, position, ..Config::example() }, fleet(30));
        let mine = serve(&mut host, 20, 0, |_| 10_000);
        let used: std::collections::BTreeSet<u32> = mine.iter().copied().collect();
        assert!(used.len() <= 3, "proxy {position} uses {} backends, two and an edge would do", used.len());
        mine.iter().for_each(|b| sent[*b as usize] += 1);
    }
    assert!(sent.iter().all(|n| (140..=260).contains(n)), "200 each expected: {sent:?}");
}

#[test]
fn a_full_backend_is_left_alone_for_a_moment_and_not_ejected() {
    // Full size: busy backends were ejected by the hundred, and the rest took their load and filled up too.
    let mut host = host(config(vec![class(Idempotency::Safe)]), fleet(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let full = host.sent_to(id)[0];
    host.end(id, 0, Outcome::Rejected);
    let retried = host.sent_to(id).len();
    host.end(id, retried - 1, Outcome::Ok);
    assert!(!serve(&mut host, 2, 0, |_| 5_000).contains(&full), "used at once again");
    assert!(host.logs.iter().all(|l| !l.contains("ejected")), "{:?}", host.logs);
    assert!(serve(&mut host, 60, 0, |_| 5_000).contains(&full), "not used after a service time");
    // Churn: a pause of half a second after each took half of the fleet away that had room again.
    let mut pauses = Vec::new();
    for _ in 0..6 {
        let mut waited = 0;
        loop {
            let id = host.arrive(0, 900_000);
            let last = *host.sent_to(id).last().unwrap();
            host.advance(10_000);
            waited += 10_000;
            host.end(id, 0, if last == full { Outcome::Rejected } else { Outcome::Ok });
            if last == full {
                let again = host.sent_to(id).len();
                host.end(id, again - 1, Outcome::Ok);
                break;
            }
        }
        pauses.push(waited);
    }
    assert!(pauses[5] >= 80_000 && pauses[1] < 80_000, "left alone longer each time: {pauses:?}");
}

#[test]
fn many_proxies_refuse_low_worth_first_and_at_once_when_the_fleet_is_crowded() {
    // Full size: without a room of its own a proxy sent all it had, and the machines tipped into the slow state.
    let mut cfg = Config { proxies: 100, tenants: vec![Tenant { quota_per_s: 1e6 }], ..Config::example() };
    cfg.tenants.push(Tenant { quota_per_s: 1e-3 });
    let mut host = host(cfg, fleet(20));
    let mut answer = |proxied: u64, tenant: usize| {
        // One attempt out for so long of every second: all hundred hold so many on twenty backends.
        for _ in 0..20 {
            let id = host.arrive_for(0, 990_000, Some(TenantId(0)));
            host.advance(proxied);
            host.end(id, 0, Outcome::Ok);
            host.advance(1_000_000 - proxied);
        }
        let id = host.arrive_for(0, 990_000, Some(TenantId(tenant)));
        let answer = host.requests[&id].answer;
        host.end(id, 0, Outcome::Ok);
        answer
    };
    assert_eq!(answer(300_000, 1), None, "1.5 held on each backend: the quota's first token");
    assert_eq!(answer(300_000, 1), None, "1.5 held on each backend");
    assert_eq!(answer(600_000, 1), Some("refused"), "3 held on each backend, beyond quota");
    assert_eq!(answer(600_000, 0), None, "3 held on each backend, within quota");
}

#[test]
fn while_answers_are_quick_low_worth_finds_the_whole_room_of_fleets_that_say_nothing() {
    // Proxies with much traffic took all for like themselves, and refused a third while backends were idle.
    let tenants = vec![Tenant { quota_per_s: 1e-3 }];
    let cfg = Config { proxies: 100, tenants, classes: vec![class(Idempotency::Safe)], ..Config::example() };
    let refused = |weights_report_load: bool, aim: u64, took: u64| {
        let mut cfg = Config { weights_report_load, ..cfg.clone() };
        cfg.classes[0].latency_objective = Micros(aim);
        let mut host = host(cfg, fleet(20));
        let mut refused = 0;
        for _ in 0..100 {
            // Out for six tenths of the time: three on each backend, if all hundred held as much.
            let id = host.arrive_for(0, 2_000_000, Some(TenantId(0)));
            refused += u32::from(host.requests[&id].answer == Some("refused"));
            host.advance(took);
            host.end(id, 0, Outcome::Ok);
            host.advance(took * 2 / 3);
        }
        refused
    };
    assert_eq!(refused(false, 400_000, 60_000), 0, "60 ms of an aim of 400: boxes that hold little");
    assert!(refused(false, 400_000, 330_000) > 10, "330 ms of an aim of 400: they hold what they may");
    assert!(refused(true, 400_000, 60_000) > 10, "where lists weigh, what they tell is waited for");
}

#[test]
fn a_full_backend_is_drawn_again_and_the_rest_waits() {
    let mut host = host(Config { proxies: 1, ..Config::example() }, fleet(2));
    host.burst(20, 0, 900_000);
    let out = host.out();
    assert!((8..=10).contains(&out.len()), "{} out on two backends", out.len());
    let (id, no) = out[0];
    host.advance(20_000);
    let before = host.out().len();
    host.end(id, no, Outcome::Ok);
    assert_eq!(host.out().len(), before, "the room made is used at once");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_one_that_never_ran_is_sent_again() {
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::Error);
    assert_eq!(host.requests[&id].answer, Some("failed"));
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::ConnectFailed);
    assert_eq!(host.sent_to(id).len(), 2);
}

#[test]
fn a_keyed_repeat_stays_in_its_zone_and_window() {
    let keyed = class(Idempotency::Keyed(DeduplicationScope::Zone, Micros(200_000)));
    let mut host = host(config(vec![keyed]), (0..6).map(|i| backend(i, i % 2, 0)).collect());
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end(id, 0, Outcome::Error);
    let sent = host.sent_to(id);
    assert!(sent.len() == 2 && sent[0] % 2 == sent[1] % 2, "{sent:?}");
    let id = host.arrive(0, 900_000);
    host.advance(175_000);
    host.end(id, 0, Outcome::Error);
    assert_eq!(host.sent_to(id).len(), 2, "20 ms are kept for its way, and no more");
    for at in [185_000, 210_000] {
        let id = host.arrive(0, 900_000);
        host.advance(at);
        host.end(id, 0, Outcome::Error);
        assert_eq!(host.sent_to(id).len(), 1, "repeated after {at}: that is too near the end of its window");
        assert_eq!(host.requests[&id].answer, Some("failed"));
    }
}

/// Serves on all but the erring backend until that is ejected; gives its number.
fn eject_one(host: &mut Host) -> u32 {
    serve(host, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let bad = host.sent_to(id)[0] == 3;
        host.advance(5_000);
        host.end(id, 0, if bad { Outcome::Error } else { Outcome::Ok });
        let again = host.requests[&id].tries.len();
        host.end(id, again - 1, Outcome::Ok);
        if host.logs.iter().any(|l| l.contains("ejected")) {
            return 3;
        }
    }
    panic!("never ejected");
}

#[test]
fn an_erring_backend_is_ejected_and_tried_by_free_requests_only() {
    let mut host = host(config(vec![class(Idempotency::Safe), class(Idempotency::NonIdempotent)]), fleet(6));
    let bad = eject_one(&mut host);
    assert!(!serve(&mut host, 40, 0, |_| 5_000).contains(&bad), "used during its term");
    host.advance(2_000_000);
    assert!(!serve(&mut host, 40, 1, |_| 5_000).contains(&bad), "an unsafe request tried it");
    assert!(serve(&mut host, 40, 0, |_| 5_000).contains(&bad), "no free request tried it");
    assert!(host.logs.iter().any(|l| l.contains("restored")));
}

#[test]
fn when_most_backends_err_they_are_used_after_all() {
    let mut host = host(config(vec![class(Idempotency::Safe)]), fleet(4));
    serve(&mut host, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let bad = host.sent_to(id).first().is_some_and(|b| *b != 0);
        host.advance(5_000);
        host.end(id, 0, if bad { Outcome::Error } else { Outcome::Ok });
        let no = host.requests[&id].tries.len().saturating_sub(1);
        host.end(id, no, Outcome::Ok);
    }
    let chosen = serve(&mut host, 80, 0, |_| 5_000);
    assert!(chosen.iter().any(|b| *b != 0), "all load went to the one backend left");
}

#[test]
fn a_cold_backend_gets_less_than_its_budget() {
    let cfg =
        Config { proxies: 1, initial_capacity_fraction: 0.1, overload_multiple: 2.0, ..Config::example() };
    let mut host = host(cfg, fleet(3));
    serve(&mut host, 200, 0, |_| 20_000);
    let cold = BackendEntry { started_at: Some(host.now), ..backend(9, 0, 0) };
    host.members(EndpointUpdate::Delta, vec![cold]);
    let chosen = serve(&mut host, 100, 0, |_| 20_000); // two seconds, one fall window
    let sent = chosen.iter().filter(|b| **b == 9).count();
    // One warm backend serves about 50 + 17 a second: at a tenth, two fold over two seconds, 27 at most.
    assert!((1..=14).contains(&sent), "{sent} of 100 went to the cold backend");
}

#[test]
fn a_burst_cannot_push_a_cold_backend_over() {
    let cfg =
        Config { proxies: 3, initial_capacity_fraction: 0.1, overload_multiple: 2.0, ..Config::example() };
    let mut host = host(cfg, fleet(12));
    serve(&mut host, 100, 0, |_| 20_000);
    let booted = Some(host.now);
    let list = (0..12).map(|i| BackendEntry { started_at: booted, ..backend(i, 0, 0) }).collect();
    host.members(EndpointUpdate::Snapshot, list);
    let mut sent = 0;
    for _ in 0..25 {
        host.burst(4, 0, 900_000);
        host.advance(20_000);
        let out = host.out();
        sent += out.len();
        out.into_iter().for_each(|(id, no)| host.end(id, no, Outcome::Ok));
    }
    // Served in 20 ms: 100 a second at most; at a tenth, doubled, two seconds, a third, by 0.8: 11 each.
    let tries = || host.requests.values().flat_map(|r| &r.tries).filter(|t| Some(t.at) >= booted);
    let most = (0..12).map(|b| tries().filter(|t| t.backend == BackendId(b)).count()).max();
    assert!(sent >= 1 && most <= Some(11), "{sent} sent, {most:?} to one cold backend");
}

/// Answers of a backend of many cores take their least until most of these are used: they tell its speed as it is, where
/// those of one core that is shared tell half of it.
#[test]
fn a_burst_cannot_push_a_cold_backend_of_many_cores_over() {
    let cfg = Config {
        proxies: 1,
        initial_capacity_fraction: 0.1,
        overload_multiple: 2.0,
        weights_report_cores: true,
        ..Config::example()
    };
    let list = |first, booted| {
        (first..first + 2)
            .map(|i| BackendEntry { started_at: booted, weight: 16_000, ..backend(i, 0, 0) })
            .collect()
    };
    let mut host = host(cfg, list(0, None));
    let rounds = |host: &mut Host, count: usize| {
        for _ in 0..count {
            host.burst(64, 0, 900_000);
            host.advance(20_000);
            host.out().into_iter().for_each(|(id, no)| host.end(id, no, Outcome::Ok));
        }
    };
    rounds(&mut host, 100);
    let booted = Some(host.now);
    host.members(EndpointUpdate::Snapshot, list(2, booted));
    rounds(&mut host, 50);
    let tries = || host.requests.values().flat_map(|r| &r.tries).filter(|t| Some(t.at) >= booted);
    let most = (2..4).map(|b| tries().filter(|t| t.backend == BackendId(b)).count()).max();
    // Eight cores and 20 ms: 400 a second at the most. At a tenth, doubled, over two seconds: 160.
    assert!(most >= Some(1) && most <= Some(160), "{most:?} to one cold backend");
}

#[test]
fn a_clients_repeat_waits_behind_first_tries() {
    // Incident ic9a8f4: repeats counted as new and, newest first, made everyone late.
    let mut host = host(Config { proxies: 1, ..Config::example() }, fleet(1));
    let fill = host.burst(8, 0, 900_000);
    host.advance(5_000);
    let first = host.arrive(0, 900_000);
    host.repeat = true;
    let repeat = host.arrive(0, 900_000);
    host.advance(15_000);
    fill.iter().for_each(|id| host.end(*id, 0, Outcome::Ok));
    let at = |id: &RequestId| host.requests[id].tries.first().map(|t| t.at);
    assert!(at(&first).is_some());
    assert!(at(&repeat).is_none_or(|t| t >= at(&first).unwrap()), "the repeat went first");
}

#[test]
fn traffic_beyond_a_quota_leaves_room_for_the_others() {
    let tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1_000.0 }];
    let mut host = host(Config { proxies: 1, tenants, ..Config::example() }, fleet(2));
    let flood: Vec<RequestId> = (0..30).map(|_| host.arrive_for(0, 900_000, Some(TenantId(0)))).collect();
    let flooded = flood.iter().filter(|id| !host.sent_to(**id).is_empty()).count();
    let other = host.arrive_for(0, 900_000, Some(TenantId(1)));
    assert!(flooded <= 6, "{flooded} of the flood went out");
    assert_eq!(host.sent_to(other).len(), 1, "the other tenant waits behind the flood");
}

#[test]
fn in_overload_the_densest_worth_is_served() {
    let rich = Class { priority_weight: 8.0, ..class(Idempotency::Safe) };
    let mut host = host(Config { proxies: 1, ..config(vec![class(Idempotency::Safe), rich]) }, fleet(1));
    let ids: Vec<RequestId> = (0..60).map(|n| host.arrive(n % 2, 900_000)).collect();
    for _ in 0..6 {
        host.serve_all(60_000);
    }
    host.advance(900_000);
    let served =
        |c: usize| ids.iter().skip(c).step_by(2).filter(|i| host.requests[i].answer == Some("served"));
    let (poor, rich) = (served(0).count(), served(1).count());
    assert!(rich > poor, "{rich} rich and {poor} poor requests were served");
}

fn zones(cost: f64) -> usize {
    let cfg = Config { cross_zone_cost: cost, ..Config::example() };
    let mut host = host(cfg, (0..9).map(|i| backend(i, i % 3, 0)).collect());
    serve(&mut host, 300, 0, |_| 10_000).iter().filter(|b| *b % 3 == 0).count()
}

#[test]
fn where_crossing_zones_costs_traffic_stays_near() {
    assert!(zones(0.05) >= 270, "{} of 300 stayed", zones(0.05));
    assert!((70..=130).contains(&zones(0.0)), "{} of 300 stayed without a cost", zones(0.0));
}

#[test]
fn a_zone_short_of_backends_sends_its_surplus_out() {
    // Own zone holds one of seven backends; three zones' proxies bring a third each: 3/7 may stay.
    let cfg = Config { cross_zone_cost: 0.05, ..Config::example() };
    let list = (0..7).map(|i| backend(i, if i == 0 { 0 } else { 1 + i % 2 }, 0)).collect();
    let mut host = host(cfg, list);
    let near = serve(&mut host, 400, 0, |_| 10_000).iter().filter(|b| **b == 0).count();
    assert!((120..=220).contains(&near), "{near} of 400 stayed on the one near backend");
}

#[test]
fn discovery_is_followed_at_once_and_again_after_a_loss() {
    let cfg = Config { discovery: DiscoveryMode::Subscribe(Micros(10_000_000)), ..Config::example() };
    let mut host = Host::new(cfg, 3);
    host.members(EndpointUpdate::Cached, fleet(2));
    assert_eq!(host.follows, 1);
    host.members(EndpointUpdate::Delta, fleet(3));
    host.advance(8_000_000);
    assert_eq!(host.follows, 1, "a living subscription is not asked for again");
    host.event(Event::EndpointsUpdated { update: EndpointUpdate::SubscriptionLost, backends: Vec::new() });
    host.advance(400_000);
    assert_eq!(host.follows, 2);
    host.advance(6_000_000);
    assert_eq!(host.follows, 3, "an unanswered call is repeated");
}

#[test]
fn a_stream_once_begun_is_left_alone() {
    let mut host = host(config(vec![class(Idempotency::Safe)]), fleet(2));
    let id = host.arrive(0, 300_000);
    host.start_stream(id, 0);
    host.advance(2_000_000);
    assert_eq!(host.requests[&id].answer, None);
    assert_eq!(host.sent_to(id).len(), 1);
}

#[test]
fn events_of_unknown_things_change_nothing() {
    let run = |noise: bool| {
        let mut host = host(config(vec![class(Idempotency::Safe)]), fleet(3));
        if noise {
            host.nonsense(RequestId(77), AttemptNumber(3), TimerToken(u64::MAX));
        }
        serve(&mut host, 50, 0, |_| 10_000)
    };
    assert_eq!(run(false), run(true));
}

#[test]
fn a_dead_backend_costs_no_request_however_few_come() {
    // Seen in the lab: one of three dead and still listed, 1.5 requests a second, some answered 503 at once.
    let mut host = host(Config { proxies: 1, ..Config::example() }, fleet(3));
    for _ in 0..30 {
        let id = host.arrive(0, 900_000);
        for no in 0..3 {
            let Some(to) = host.sent_to(id).get(no).copied() else { break };
            host.end(id, no, if to == 0 { Outcome::ConnectFailed } else { Outcome::Ok });
        }
        assert_eq!(host.requests[&id].answer, Some("served"), "{:?}", host.sent_to(id));
        host.advance(666_000);
    }
}

/// Its address changed while a connection to it came up, say: it is where it was, and may be the only one.
#[test]
fn what_was_never_sent_may_go_to_the_same_backend_and_no_more_often_than_allowed() {
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(1));
    let id = host.arrive(0, 700_000);
    let most = Config::example().max_attempts;
    for attempt in 0..most {
        assert_eq!(host.sent_to(id).len() as u32, attempt + 1);
        host.end(id, attempt as usize, Outcome::NotSent);
    }
    assert_eq!(host.sent_to(id).len() as u32, most);
    assert_eq!(host.requests[&id].answer, Some("refused"));
}
