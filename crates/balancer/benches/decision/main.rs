//! What one decision costs, in instructions, with 12 to 2,000 backends: `cargo bench -p shaletide-balancer`. Callgrind
//! counts a long run and a short one of this program itself; without `valgrind` there is a line that says so.
//!
//! *Alone* is a request and its answer while the clock stands, so that nothing is solved anew meanwhile; *in all* is
//! the same at 14 requests a second, as one of 300 proxies gets them, with all that time and a list that is told
//! anew each second bring about; *a list* is such news by itself.

mod reports;

use shaletide_balancer::{Action, Arrival, AttemptEnd, Balancer, Config, Event, SharedLimits};
use shaletide_types::*;
use std::process::Command;

const BOXES: [u32; 3] = [12, 200, 2_000];
/// Requests of the long run and of the short one.
const COUNTED: [u64; 2] = [600, 200];
const WARM_UP: u64 = 300;
const GAP: Micros = Micros(71_000);
const TOOK: Micros = Micros(60_000);

/// What is counted.
#[derive(Clone, Copy, PartialEq)]
enum What {
    Alone,
    All,
    List,
}

/// A proxy among 300, its backends and what it asked for last.
struct Host {
    module: Balancer,
    allowance: SharedLimits,
    actions: Vec<Action>,
    now: Time,
    timer: Option<(Time, TimerToken)>,
    sent: Option<(AttemptNumber, BackendId)>,
    list: Vec<BackendEntry>,
    told: Time,
    says: bool,
    last: u64,
    served: u64,
}

impl Host {
    fn new(boxes: u32, says: bool) -> Host {
        let mut cfg = Config { proxies: 300, position: 7, zone: ZoneId(2), ..Config::example() };
        reports::configure(&mut cfg, says);
        let list = |number: u32| BackendEntry {
            id: BackendId(number),
            stable_hash: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
            zone: ZoneId(number % 5),
            deduplication_group: DeduplicationGroupId(u64::from(number % 40)),
            server_type: ServerTypeId(number % 2),
            state: BackendState::Ready,
            ..BackendEntry::default()
        };
        let mut host = Host {
            module: Balancer::new(cfg, 5).expect("a sound configuration"),
            allowance: SharedLimits::default(),
            actions: Vec::new(),
            now: Time(1_000_000_000),
            timer: None,
            sent: None,
            list: (0..boxes).map(list).collect(),
            told: Time(0),
            says,
            last: 0,
            served: 0,
        };
        host.tell_list(EndpointUpdate::Snapshot);
        host
    }

    fn tell(&mut self, event: Event) {
        self.module.handle(self.now, event, &mut self.allowance, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Dispatch { attempt, backend, .. } => self.sent = Some((attempt, backend)),
                Action::SetTimer { token, after } => self.timer = Some((self.now + after, token)),
                _ => {}
            }
        }
    }

    fn tell_list(&mut self, update: EndpointUpdate) {
        self.told = self.now;
        let mut backends = self.list.clone();
        if self.says {
            let turn = self.last;
            backends.iter_mut().for_each(|b| reports::weigh(b, turn));
        }
        self.tell(Event::EndpointsUpdated { update, backends });
    }

    /// One request, served.
    fn request(&mut self) {
        self.last += 1;
        let request = RequestId(self.last);
        let arrival = Arrival {
            request,
            class: ClassId(0),
            tenant: None,
            time_left: Micros(2_000_000),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        self.tell(Event::Request(arrival));
        let Some((attempt, backend)) = self.sent.take() else { return };
        self.served += 1;
        if self.says {
            if let Some(event) = reports::report(backend, self.last) {
                self.tell(event);
            }
        }
        let end =
            AttemptEnd { request, attempt, outcome: Outcome::Ok, latency: TOOK, request_answered: true };
        self.tell(Event::AttemptEnded(end));
    }

    /// Time passes until the next request.
    fn pass(&mut self) {
        let then = self.now + GAP;
        while let Some((at, token)) = self.timer.filter(|(at, _)| *at <= then) {
            self.timer = None;
            self.now = at.max(self.now);
            self.tell(Event::Timer { token });
        }
        self.now = then;
        if self.says && then - self.told >= Micros(1_000_000) {
            self.tell_list(EndpointUpdate::Delta);
        }
    }
}

fn run(boxes: u32, says: bool, what: What, times: u64) {
    let mut host = Host::new(boxes, says);
    for _ in 0..WARM_UP {
        host.pass();
        host.request();
    }
    for _ in 0..times {
        match what {
            What::Alone => host.request(),
            What::All => {
                host.pass();
                host.request();
            }
            What::List => host.tell_list(EndpointUpdate::Delta),
        }
    }
    assert!(host.served * 20 >= host.last * 19, "{} of {} sent", host.served, host.last);
}

/// The instructions of one, by callgrind.
fn instructions(boxes: u32, says: bool, what: What) -> Option<f64> {
    let [long, short] = COUNTED.map(|times| counted(boxes, says, what, times));
    Some((long? - short?) as f64 / (COUNTED[0] - COUNTED[1]) as f64)
}

fn counted(boxes: u32, says: bool, what: What, times: u64) -> Option<i64> {
    let out = std::env::temp_dir().join(format!("shaletide-decision-{}", std::process::id()));
    let own = std::env::current_exe().ok()?;
    let mut command = Command::new("valgrind");
    command.args(["-q", "--tool=callgrind"]).arg(format!("--callgrind-out-file={}", out.display())).arg(own);
    let what = what as u64;
    command.args(["run", &format!("{boxes} {} {what} {times}", u64::from(says))]);
    let done = command.status().ok()?.success();
    let text = std::fs::read_to_string(&out).ok()?;
    let _ = std::fs::remove_file(&out);
    let total = text.lines().find_map(|line| line.strip_prefix("totals:")).filter(|_| done)?;
    total.trim().parse().ok()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|word| word == "run") {
        let given: Vec<u64> =
            args[2].split(' ').map(|n| n.parse().expect("a number of `counted`'s")).collect();
        let what = [What::Alone, What::All, What::List][given[2] as usize];
        return run(given[0] as u32, given[1] == 1, what, given[3]);
    }
    println!("instructions of a request and its answer, and of news of the whole list; one of 300 proxies");
    for boxes in BOXES {
        for says in [false, true].into_iter().filter(|says| !says || reports::THERE) {
            let [alone, all, list] =
                [What::Alone, What::All, What::List].map(|w| instructions(boxes, says, w));
            let (Some(alone), Some(all), Some(list)) = (alone, all, list) else {
                return println!("passed over: no valgrind that counts");
            };
            let told = if says { "boxes report" } else { "boxes say nothing" };
            println!("{boxes:5} boxes, {told:<17}: alone {alone:9.0}, in all {all:9.0}, a list {list:9.0}");
        }
    }
}
