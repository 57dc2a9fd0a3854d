//! `shaletide record` on stores written by the recorder.

mod record_fixture;

use record_fixture::*;
use shaletide_control::{Command, ControlServer, Reply};
use shaletide_record::{Event, Fact, RequestEnding, ResolveResult};
use shaletide_store::{SqliteOptions, SqliteStore};
use shaletide_types::{AttemptNumber, Outcome};
use std::process::Command as Program;

/// Records a request of each outcome: served, rejected, withdrawn, in doubt and resolved.
fn record_all_outcomes(folder: &Folder) -> RecordedStore {
    let mut recorded = RecordedStore::open(&folder.db(), MORNING);
    recorded.serve_request("milford", b"good");
    recorded.advance_ms(100);
    // Rejected: the backend rejected the request, and it was not retried.
    let refused = recorded.begin_settle("milford", b"refused");
    recorded.request_intent(refused, 0, "box-3");
    recorded.end_attempt(refused, 0, Outcome::Rejected);
    recorded.end_request(refused, RequestEnding::Rejected);
    // Withdrawn: the permit was granted, but the request was not sent.
    let withdrawn = recorded.begin_settle("other", b"withdrawn");
    recorded.request_intent(withdrawn, 0, "box-3");
    recorded.handle_event(Event::IntentWithdrawn { request: withdrawn, attempt: AttemptNumber(0) });
    recorded.end_request(withdrawn, RequestEnding::TimedOut);
    recorded.advance_ms(100);
    recorded.leave_in_doubt("milford", b"odd");
    recorded.advance_ms(100);
    assert_ne!(
        recorded.begin_request("milford", "settle", b"odd").1,
        shaletide_record::KeyDecision::Proceed { requires_intent: true }
    );
    recorded.leave_in_doubt("milford", b"settled");
    assert_eq!(
        recorded.resolve(key("milford", b"settled"), false, "jo", "not in the box's book"),
        ResolveResult::Done
    );
    recorded
}

#[test]
fn show_prints_each_keys_history_beside_the_writer() {
    let folder = Folder::new();
    let _writes = record_all_outcomes(&folder);
    let show = |key| folder.expect_output(0, &["show", "--store", "record.db", "--key", key]);
    let good = show("good");
    let expected = "\
settle of milford, key good
times in UTC

2026-12-01
  run 1 begins: quay-1, version 0.1.0, configuration 1 5f1c9d (2026-12-01 10:31:02.123)
  request 1 of run 1
    10:31:02.123  asked: settle of milford, key good, 1.0 s left  [row 2]
    10:31:02.123  intent durable before the first byte: attempt 0 to box-2 \
    (pool new-boxes, list 41, serving, ready, 2 in flight)  [row 3]
    10:31:02.141  outcome of attempt 0 at box-2: served  [row 4]
    10:31:02.141  answered: served, by attempt 0  [row 5]

now: served (row 4); a request with this key will be rejected
";
    assert_eq!(good, expected);
    let refused = show("refused");
    assert!(
        refused.contains("rejected by the backend; it was not executed") && refused.contains("now: free"),
        "{refused}"
    );
    let withdrawn = show("withdrawn");
    assert!(withdrawn.contains("withdrawn: attempt 0 at box-3 was not and will not be sent"), "{withdrawn}");
    let odd = show("odd");
    for expected_text in [
        "connection broken; it may have run",
        "answered: failed; the request may have run",
        "rejected before sending (409): its key was in doubt",
        "now: in doubt since 2026-12-01 10:31:02.556 (row ",
        "shaletide record resolve odd --tenant milford --class settle --ran yes|no",
    ] {
        assert!(odd.contains(expected_text), "{expected_text}\n{odd}");
    }
    let settled = show("settled");
    let expected_text = "resolved by jo: it did not run, the key is free, because: not in the box's book";
    assert!(settled.contains(expected_text) && settled.contains("now: free"), "{settled}");
}

#[test]
fn show_filters_by_tenant_class_and_zone() {
    let folder = Folder::new();
    let mut recorded = record_all_outcomes(&folder);
    recorded.serve_request("other", b"good");
    let all = folder.expect_output(0, &["show", "--store", "record.db", "--key", "good"]);
    assert!(
        all.contains("settle of milford, key good") && all.contains("settle of other, key good"),
        "{all}"
    );
    let one =
        folder.expect_output(0, &["show", "--store", "record.db", "--key", "good", "--tenant", "other"]);
    assert!(!one.contains("of milford"), "{one}");
    let with_zone =
        folder.expect_output(0, &["show", "--store", "record.db", "--key", "good", "--tz", "+05:30"]);
    assert!(
        with_zone.contains("16:01:02.123  asked") && with_zone.contains("times in +05:30"),
        "{with_zone}"
    );
    let none = folder.expect_output(1, &["show", "--store", "record.db", "--key", "good", "--class", "bid"]);
    assert_eq!(none, "shaletide: nothing is on record about the key good\n");
    for malformed in [&["--tz", "Atlantis/Deep"][..], &["--tz", "+5:30"], &["--hex"]] {
        folder.expect_output(2, &[&["show", "--store", "record.db", "--key", "good"], malformed].concat());
    }
    let missing_store = folder.expect_output(2, &["show", "--store", "no.db", "--key", "good"]);
    assert_eq!(missing_store, "shaletide: there is no store at no.db\n");
    assert!(!folder.0.join("no.db").exists(), "a command that reads must not create a store");
}

#[test]
fn history_across_runs_names_each_run() {
    let folder = Folder::new();
    let mut recorded = RecordedStore::open(&folder.db(), MORNING);
    let request = recorded.begin_settle("milford", b"cut");
    recorded.request_intent(request, 0, "box-7");
    drop(recorded); // as if killed with the attempt in flight
    let keys_in_flight = folder.expect_output(0, &["list", "--store", "record.db", "--in-doubt"]);
    assert!(
        keys_in_flight.contains("in flight since 2026-12-01 10:31:02.123, last at box-7"),
        "{keys_in_flight}"
    );
    let mut later = MORNING;
    later.0 += 86_400_000_000;
    let _reopened = RecordedStore::open(&folder.db(), later);
    let history = folder.expect_output(0, &["show", "--store", "record.db", "--key", "cut"]);
    let expected_text = "in doubt: the proxy ended with an attempt in flight; row 3 is its last row";
    assert!(
        history.contains("2026-12-02\n  run 2 begins: quay-1") && history.contains(expected_text),
        "{history}"
    );
}

#[test]
fn list_prints_facts_and_unsettled_keys() {
    let folder = Folder::new();
    let _writes = record_all_outcomes(&folder);
    let list = |more: &[&str]| folder.expect_output(0, &[&["list", "--store", "record.db"], more].concat());
    let keys_in_doubt = list(&["--in-doubt"]);
    let line = "in doubt since 2026-12-01 10:31:02.556, last at box-7  [row ";
    assert!(keys_in_doubt.contains(line) && keys_in_doubt.lines().count() == 2, "{keys_in_doubt}");
    assert!(keys_in_doubt.contains("odd --tenant milford --class settle"), "{keys_in_doubt}");
    assert_eq!(list(&["--in-doubt", "--tenant", "other"]).lines().count(), 1);
    assert_eq!(list(&["--in-doubt", "--box", "box-2"]).lines().count(), 1);
    let boxes = list(&["--box", "box-3"]);
    assert!(
        boxes.lines().count() == 3 && boxes.contains("settle of other, key withdrawn: intent"),
        "{boxes}"
    );
    assert_eq!(
        list(&[
            "--since",
            "2026-12-01T10:31:02.5Z",
            "--until",
            "2026-12-01 10:31:02.600",
            "--tenant",
            "milford"
        ])
        .lines()
        .count(),
        3
    );
    let few = list(&["--limit", "2"]);
    assert!(few.ends_with("there are more: --after 2\n"), "{few}");
    assert!(list(&["--limit", "1", "--after", "2"]).contains("[row 3]"));
    let malformed = folder.expect_output(2, &["list", "--store", "record.db", "--since", "yesterday"]);
    assert!(malformed.contains("--since yesterday: expected a time such as"), "{malformed}");
    assert!(folder
        .expect_output(2, &["list"])
        .contains("no store is named: give --store FILE or --config FILE"));
}

/// Splits a CSV file into rows and fields according to RFC 4180.
fn parse_csv(text: &str) -> Vec<Vec<String>> {
    let (mut rows, mut row, mut field, mut quoted) = (Vec::new(), Vec::new(), String::new(), false);
    let mut rest = text.chars().peekable();
    while let Some(c) = rest.next() {
        match (c, quoted) {
            ('"', true) if rest.peek() == Some(&'"') => field.extend(rest.next()),
            ('"', _) => quoted = !quoted,
            (',', false) => row.push(std::mem::take(&mut field)),
            ('\r', false) => {
                assert_eq!(rest.next(), Some('\n'));
                row.push(std::mem::take(&mut field));
                rows.push(std::mem::take(&mut row));
            }
            (c, _) => field.push(c),
        }
    }
    assert!(!quoted && field.is_empty());
    rows
}

#[test]
fn unusual_keys_are_printed_completely() {
    let folder = Folder::new();
    let mut recorded = RecordedStore::open(&folder.db(), MORNING);
    let long = vec![b'x'; 10 << 10];
    let odd: [&[u8]; 7] = [b"a\0b", b"a\nb", b"a,\"b\"", b"=1+1", &long, b"\xff\xfe", "\u{1F512}".as_bytes()];
    odd.iter().for_each(|key| recorded.serve_request("milford", key));
    let (by, text) = ("jo \"the pen\"", "first,\r\nsecond\0");
    recorded.handle_event(Event::RecordFact(Fact::Correction { of: 2, by: by.into(), text: text.into() }));
    let rows = parse_csv(&folder.expect_output(0, &["export", "--store", "record.db", "--format", "csv"]));
    assert!(rows.iter().all(|row| row.len() == 13), "{rows:?}");
    let column = |at: usize| rows.iter().skip(1).map(|row| row[at].clone()).collect::<Vec<_>>();
    let asked_rows: Vec<&Vec<String>> = rows.iter().filter(|row| row[4] == "asked").collect();
    for (row, key) in asked_rows.iter().zip(odd) {
        assert_eq!(row[9], shaletide_record::chain::hex(key));
        assert_eq!(
            row[8].as_bytes(),
            if key == long { key } else { b"" },
            "keys that a spreadsheet might misinterpret are left out"
        );
    }
    assert_eq!(asked_rows.len(), odd.len());
    let body: serde_json::Value = serde_json::from_str(column(11).last().unwrap()).unwrap();
    assert_eq!((body["by"].as_str(), body["text"].as_str()), (Some(by), Some(text)));
    let lines = folder.expect_output(0, &["export", "--store", "record.db", "--format", "jsonl"]);
    assert_eq!(lines.lines().count(), rows.len() - 1);
    for (line, row) in lines.lines().zip(rows.iter().skip(1)) {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["sum"], row[12].as_str());
        assert_eq!(line["body_text"], row[11].as_str());
        assert_eq!(line["key_hex"].as_str().unwrap_or_default(), row[9]);
    }
    for key in odd {
        let hex = shaletide_record::chain::hex(key);
        let history = folder.expect_output(0, &["show", "--store", "record.db", "--hex", "--key", &hex]);
        let plain = history.chars().all(|c| c == '\n' || !c.is_control());
        assert!(history.contains("now: served") && plain && history.len() < 2_000, "{history}");
    }
    let some = folder.expect_output(
        0,
        &["export", "--store", "record.db", "--format", "jsonl", "--limit", "3", "--after", "4"],
    );
    assert_eq!(some.lines().count(), 3);
}

/// Changes a store by SQL, without the recorder.
fn tamper(folder: &Folder, sql: &str) {
    let store = SqliteStore::open(&SqliteOptions::new(folder.db())).unwrap();
    store.execute_for_test(sql).unwrap();
}

#[test]
fn verify_finds_edited_missing_and_truncated_rows() {
    let verify = |folder: &Folder, status, more: &[&str]| {
        folder.expect_output(status, &[&["verify", "--store", "record.db"], more].concat())
    };
    let folder = Folder::new();
    drop(record_all_outcomes(&folder));
    let whole = verify(&folder, 0, &[]);
    assert!(whole.starts_with("whole: ") && whole.contains("\nhead "), "{whole}");
    let head = whole.trim().rsplit(' ').next().unwrap().to_string();
    assert_eq!(verify(&folder, 0, &["--head", &head]), whole);
    assert!(verify(&folder, 2, &["--head", "seven"]).contains("expected ROW:SUM"));

    let (last, sum) = head.split_once(':').unwrap();
    let other = format!("{last}:{}", "0".repeat(sum.len()));
    assert!(verify(&folder, 1, &["--head", &other]).contains("is not the one that was noted"));
    let later = format!("{}:{sum}", last.parse::<u64>().unwrap() + 2);
    assert!(verify(&folder, 1, &["--head", &later]).contains("missing at the end"));

    tamper(&folder, "DELETE FROM rows WHERE seq = (SELECT max(seq) FROM rows)");
    assert!(verify(&folder, 0, &[]).starts_with("whole"), "truncation does not show without a noted head");
    assert!(verify(&folder, 1, &["--head", &head])
        .contains(&format!("rows {last} to {last} are missing at the end")));

    let edited = Folder::new();
    drop(record_all_outcomes(&edited));
    tamper(&edited, "UPDATE rows SET backend = 'box-8' WHERE seq = 3");
    assert_eq!(verify(&edited, 1, &[]), "shaletide: broken: row 3, or one before it, was changed\n");

    let missing = Folder::new();
    drop(record_all_outcomes(&missing));
    tamper(&missing, "DELETE FROM rows WHERE seq = 4");
    assert_eq!(verify(&missing, 1, &[]), "shaletide: broken: row 4 is missing\n");
}

#[test]
fn doubt_is_resolved_only_while_no_proxy_holds_the_store() {
    let folder = Folder::new();
    let recorded = record_all_outcomes(&folder);
    let resolve = |status, key: &str, ran: &str, more: &[&str]| {
        let arguments = ["resolve", key, "--ran", ran, "--by", "jo", "--note", "asked box-7"];
        folder.expect_output(status, &[&arguments[..], &["--store", "record.db"], more].concat())
    };
    let held = resolve(2, "odd", "no", &[]);
    assert!(
        held.contains("another proxy owns the store") && held.contains("give --control or --config"),
        "{held}"
    );
    drop(recorded);
    assert_eq!(resolve(0, "odd", "no", &[]), "on record; the key is free\n");
    let history = folder.expect_output(0, &["show", "--store", "record.db", "--key", "odd"]);
    assert!(history.contains("run 2 begins: shaletide record, version"), "{history}");
    assert!(
        history.contains("resolved by jo: it did not run, the key is free, because: asked box-7"),
        "{history}"
    );
    assert!(resolve(1, "odd", "no", &[]).contains("it is free, or is not known"));
    assert!(resolve(1, "good", "yes", &[]).contains("it was served"));
    assert!(resolve(1, "none", "yes", &["--tenant", "milford", "--class", "settle"]).contains("it is free"));
    assert!(folder.expect_output(0, &["verify", "--store", "record.db"]).starts_with("whole"));
    // The freed key can be sent again, and the store decides by its new state.
    let mut recorded = RecordedStore::open(&folder.db(), MORNING);
    recorded.serve_request("milford", b"odd");
    drop(recorded);
    assert!(resolve(1, "odd", "yes", &[]).contains("it was served"));
    let empty = ["resolve", "odd", "--ran", "yes", "--by", " ", "--note", "n", "--store", "record.db"];
    assert!(folder.expect_output(2, &empty).contains("--by may not be empty"));
}

#[test]
fn key_in_flight_at_a_crash_is_resolved_before_restart() {
    let folder = Folder::new();
    let mut recorded = RecordedStore::open(&folder.db(), MORNING);
    for tenant in ["milford", "other"] {
        let request = recorded.begin_settle(tenant, b"cut");
        recorded.request_intent(request, 0, "box-7");
    }
    drop(recorded);
    let ambiguous = folder.expect_output(
        2,
        &["resolve", "cut", "--ran", "yes", "--by", "jo", "--note", "n", "--store", "record.db"],
    );
    assert!(
        ambiguous.contains(
            "several keys match, give --tenant and --class:\n  cut --tenant milford --class settle\n"
        ),
        "{ambiguous}"
    );
    let arguments = [
        "resolve",
        "cut",
        "--ran",
        "yes",
        "--by",
        "jo",
        "--note",
        "n",
        "--store",
        "record.db",
        "--tenant",
        "other",
    ];
    assert_eq!(folder.expect_output(0, &arguments), "on record; the key counts as served\n");
    let history =
        folder.expect_output(0, &["show", "--store", "record.db", "--key", "cut", "--tenant", "other"]);
    assert!(
        history.contains("in doubt: the proxy ended with") && history.contains("now: served"),
        "{history}"
    );
    let mut recorded = RecordedStore::open(&folder.db(), MORNING);
    assert!(matches!(
        recorded.begin_request("other", "settle", b"cut").1,
        shaletide_record::KeyDecision::Conflict(_)
    ));
    drop(recorded);
    assert!(folder.expect_output(0, &["verify", "--store", "record.db"]).starts_with("whole"));
}

#[test]
fn pruned_record_verifies_and_names_who_pruned() {
    let folder = Folder::new();
    let recorded = record_all_outcomes(&folder);
    let noted = folder.expect_output(0, &["verify", "--store", "record.db"]);
    let head = noted.trim().rsplit(' ').next().unwrap().to_string();
    let prune = |status, before: &str| {
        folder.expect_output(status, &["prune", "--before", before, "--by", "jo", "--store", "record.db"])
    };
    assert!(prune(2, "1d").contains("another proxy owns the store"));
    drop(recorded);
    assert!(prune(0, "2026-01-01").contains("no row is older"));
    assert_eq!(prune(0, "2026-12-01T10:31:02.200Z"), "5 rows were pruned\n");
    let whole = folder.expect_output(0, &["verify", "--store", "record.db", "--head", &head]);
    assert!(whole.contains("5 taken out before them"), "{whole}");
    assert!(folder
        .expect_output(0, &["list", "--store", "record.db", "--since", "1h"])
        .contains("rows up to 5 were pruned by jo"));
    // Rows of a key in doubt are kept, and so are all rows after them.
    prune(0, "2027-01-01");
    let odd = folder.expect_output(0, &["show", "--store", "record.db", "--key", "odd"]);
    assert!(odd.contains("run 1; its start is not on record") && odd.contains("it may have run"), "{odd}");
    assert!(folder
        .expect_output(0, &["verify", "--store", "record.db", "--head", &head])
        .starts_with("whole"));
    // The state of a key is kept after its rows have been pruned.
    assert!(folder
        .expect_output(1, &["show", "--store", "record.db", "--key", "good"])
        .contains("rows were pruned"));
    let whole = ["show", "--store", "record.db", "--key", "good", "--tenant", "milford", "--class", "settle"];
    let history = folder.expect_output(0, &whole);
    assert!(history.contains("its rows were pruned") && history.contains("now: served (row 4)"), "{history}");
}

#[test]
fn rows_removed_by_hand_are_found() {
    let folder = Folder::new();
    drop(record_all_outcomes(&folder));
    let anchor =
        "INSERT INTO anchor (one, seq, sum, run, rows) SELECT 1, seq, sum, run, 3 FROM rows WHERE seq = 3";
    tamper(&folder, &format!("{anchor}; DELETE FROM rows WHERE seq <= 3"));
    let expected_error = "shaletide: broken: rows up to 3 were pruned, and no row records by whom\n";
    assert_eq!(folder.expect_output(1, &["verify", "--store", "record.db"]), expected_error);
}

#[test]
fn correction_is_added_and_shown_with_its_row() {
    let folder = Folder::new();
    let mut recorded = record_all_outcomes(&folder);
    // A running proxy writes a correction without the key of its row.
    recorded.handle_event(Event::RecordFact(Fact::Correction {
        of: 4,
        by: "jo".into(),
        text: "it was box-9".into(),
    }));
    drop(recorded);
    let correct = |status, row: &str| {
        let arguments = [
            "correct",
            row,
            "--by",
            "sam",
            "--text",
            "it was box-8",
            "--note",
            "the rack's label",
            "--store",
        ];
        folder.expect_output(status, &[&arguments[..], &["record.db"]].concat())
    };
    assert_eq!(correct(0, "3"), "on record; row 3 stays as it is\n");
    assert!(correct(1, "9999").contains("there is no row 9999"));
    correct(1, "0");
    let history = folder.expect_output(0, &["show", "--store", "record.db", "--key", "good"]);
    for expected_text in [
        "correction of row 4 by jo: it was box-9",
        "correction of row 3 by sam: it was box-8, because: the rack's label",
    ] {
        assert!(history.contains(expected_text), "{history}");
    }
    assert!(history.contains("attempt 0 to box-2"), "the row itself stays: {history}");
    assert!(folder.expect_output(0, &["verify", "--store", "record.db"]).starts_with("whole"));
}

#[test]
fn backup_during_writes_is_a_valid_store() {
    let folder = Folder::new();
    let _writes = record_all_outcomes(&folder);
    assert_eq!(
        folder.expect_output(0, &["backup", "--store", "record.db", "--to", "copy.db"]),
        "copied to copy.db\n"
    );
    let both = ["record.db", "copy.db"].map(|file| folder.expect_output(0, &["verify", "--store", file]));
    assert_eq!(both[0], both[1]);
    assert!(folder
        .expect_output(2, &["backup", "--store", "record.db", "--to", "copy.db"])
        .contains("is there already"));
}

/// Serves the control socket as the daemon does, with one reply to all commands. Returns the commands and a function that ends
/// the service.
fn serve_control(folder: &Folder, reply: Reply) -> (std::sync::mpsc::Receiver<Command>, impl FnOnce()) {
    let (commands, received_commands) = std::sync::mpsc::channel();
    let (end, ended) = tokio::sync::oneshot::channel::<()>();
    let (ready, is_ready) = std::sync::mpsc::channel();
    let path = folder.0.join("control.sock");
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let control = ControlServer::bind(&path).unwrap();
            ready.send(()).unwrap();
            let handler = move |command| {
                commands.send(command).unwrap();
                std::future::ready(reply.clone())
            };
            tokio::select! {
                () = control.serve(handler) => {}
                _ = ended => {}
            }
        });
    });
    is_ready.recv().unwrap();
    (received_commands, move || {
        drop(end);
        thread.join().unwrap();
    })
}

const CONFIG: &str = r#"
[[listener]]
address = "127.0.0.1:8080"
[[class]]
name = "settle"
effect = "unsafe"
[[pool]]
name = "all"
boxes = ["127.0.0.1:9001"]
[record]
path = "record.db"
[control]
socket = "control.sock"
"#;

#[test]
fn running_proxys_reply_decides_the_status() {
    let folder = Folder::new();
    let recorded = record_all_outcomes(&folder);
    std::fs::write(folder.0.join("operator.toml"), CONFIG).unwrap();
    let resolve =
        ["resolve", "odd", "--ran", "yes", "--by", "jo", "--note", "n", "--config", "operator.toml"];
    for (reply, status, expected_text) in [
        (Reply::Done("on record".into()), 0, "on record\n"),
        (Reply::Refused("not now\u{1b}[2J".into()), 1, "shaletide: not now\u{fffd}[2J\n"),
        (Reply::Senseless("what?".into()), 2, "shaletide: what?\n"),
    ] {
        let (received_commands, end) = serve_control(&folder, reply);
        assert_eq!(folder.expect_output(status, &resolve), expected_text);
        let Command::Resolve { tenant, class, ran, .. } = received_commands.recv().unwrap() else {
            panic!("not a resolve command")
        };
        assert_eq!((tenant.as_str(), class.as_str(), ran), ("milford", "settle", true));
        end();
    }
    let (received_commands, end) = serve_control(&folder, Reply::Done("so be it".into()));
    folder.expect_output(0, &["prune", "--before", "2026-12-01", "--by", "jo", "--control", "control.sock"]);
    assert_eq!(
        received_commands.recv().unwrap(),
        Command::Prune { before: 1_796_083_200_000_000, by: "jo".into() }
    );
    folder.expect_output(0, &["correct", "7", "--by", "jo", "--text", "t", "--control", "control.sock"]);
    assert_eq!(
        received_commands.recv().unwrap(),
        Command::Correct { of: 7, by: "jo".into(), text: "t".into() }
    );
    end();
    // No proxy listens while the store is held; then the store is free, too.
    assert!(folder.expect_output(2, &resolve).contains("another proxy owns the store"));
    drop(recorded);
    assert_eq!(folder.expect_output(0, &resolve), "on record; the key counts as served\n");
    let prune_by_control_only = ["prune", "--before", "1d", "--by", "jo", "--control", "control.sock"];
    assert!(folder.expect_output(2, &prune_by_control_only).contains("no proxy listens at control.sock"));
    assert!(folder.expect_output(0, &["verify", "--config", "operator.toml"]).starts_with("whole"));
    std::fs::write(folder.0.join("bare.toml"), CONFIG.split("[record]").next().unwrap()).unwrap();
    assert!(folder
        .expect_output(2, &["verify", "--config", "bare.toml"])
        .contains("bare.toml has no [record]"));
}

#[test]
fn closed_output_ends_the_command_without_panic() {
    let folder = Folder::new();
    let mut recorded = RecordedStore::open(&folder.db(), MORNING);
    (0..150u32).for_each(|n| recorded.serve_request("milford", &n.to_be_bytes()));
    let line = format!(
        "{} record export --store record.db --format csv | head -n 1",
        env!("CARGO_BIN_EXE_shaletide")
    );
    let output = Program::new("sh").args(["-c", &line]).current_dir(&folder.0).output().unwrap();
    let error_text = String::from_utf8(output.stderr).unwrap();
    assert!(!error_text.contains("panicked"), "{error_text}");
}
