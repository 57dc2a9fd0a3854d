//! Each rule reports a stream of events and actions that breaks it, and reports nothing for a correct one.

mod answers;
mod connections;
mod intents;
mod retries;
mod slow_start;

use super::*;
use crate::event::{FinalOutcome, RequestSpec};
use shaletide_balancer::Arrival;
use shaletide_routing::ResponseClass;
use std::rc::Rc;

const KEYED: Idempotency = Idempotency::Keyed(DeduplicationScope::Group, Micros(2_000));
const RULES: Rules = Rules {
    drain_grace: Micros(0),
    answer_slack: Micros(0),
    reuse_delay: Micros(500),
    cancellation: true,
    has_only_one_deduplication_domain: false,
};

/// Feeds events and actions to a monitor and collects the rules that it reports as broken.
struct Stream {
    monitor: Monitor,
    now: Time,
    broken_rules: Vec<Rule>,
}

impl Stream {
    /// Creates a stream with two listed backends in two deduplication groups.
    fn new(rules: Rules) -> Stream {
        let mut s = Stream { monitor: Monitor::new(rules), now: Time(1_000_000), broken_rules: Vec::new() };
        s.list(0, 0, BackendState::Ready);
        s.list(1, 1, BackendState::Ready);
        s
    }

    fn record(&mut self, verdict: Verdict) {
        self.broken_rules.extend(verdict.err().map(|v| v.rule));
    }

    fn step(&mut self, event: Event, actions: &[Action]) {
        let verdict = self.monitor.observe_step(self.now, Some(&event), actions);
        self.record(verdict);
    }

    fn act(&mut self, actions: &[Action]) {
        let verdict = self.monitor.observe_step(self.now, None, actions);
        self.record(verdict);
    }

    fn list(&mut self, id: u32, group: u64, state: BackendState) {
        let backends = vec![BackendEntry {
            id: BackendId(id),
            deduplication_group: DeduplicationGroupId(group),
            state,
            ..BackendEntry::default()
        }];
        self.step(Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Delta, backends }, &[]);
    }

    fn request(&mut self, idempotency: Idempotency, requires_intent: bool) {
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(0),
            tenant: None,
            time_left: Micros(5_000),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        let pools: Rc<[PoolId]> = Rc::new([PoolId(0)]);
        self.step(
            Event::Request(RequestSpec {
                arrival,
                idempotency,
                pools,
                requires_intent,
                recorded: requires_intent,
            }),
            &[],
        );
    }

    /// Sends the attempt with that number to a backend, on a connection with the same number.
    fn sent(&mut self, number: u32, to: u32) {
        self.act(&[open(number, to)]);
        self.step(Event::Connected { connection: connection(number) }, &[send(number, number)]);
    }

    fn answered(
        &mut self, number: u32, verdict: ResponseClass, reusable: bool, has_excess_bytes: bool,
        actions: &[Action],
    ) {
        self.step(Event::RequestWritten { connection: connection(number) }, &[]);
        self.step(
            Event::ResponseReceived {
                connection: connection(number),
                class: verdict,
                reusable,
                has_excess_bytes,
            },
            actions,
        );
    }
}

fn connection(number: u32) -> ConnectionId {
    ConnectionId(u64::from(number))
}

fn open(number: u32, to: u32) -> Action {
    Action::Connect { connection: connection(number), backend: BackendId(to), repeat_of: None }
}

fn send(on: u32, number: u32) -> Action {
    Action::Send {
        connection: connection(on),
        request: RequestId(0),
        attempt: AttemptNumber(number),
        deadline: Time(0),
        write_deadline: None,
        requires_live_path: true,
        discard_on_close: true,
    }
}

fn close(number: u32) -> Action {
    Action::Close { connection: connection(number) }
}

fn answer(answer: FinalOutcome) -> Action {
    Action::Answer { request: RequestId(0), answer, last_attempt: None }
}

const SERVED: FinalOutcome = FinalOutcome::Served(AttemptNumber(0));
const REJECTED: FinalOutcome = FinalOutcome::Rejected(Micros(1));

/// Returns the rules broken by a stream that begins with a request of the given idempotency.
fn broken_rules(idempotency: Idempotency, rules: Rules, stream: impl Fn(&mut Stream)) -> Vec<Rule> {
    let mut s = Stream::new(rules);
    s.request(idempotency, false);
    stream(&mut s);
    s.broken_rules
}
