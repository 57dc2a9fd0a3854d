//! Whole runs of the lab with a few processes of the real program. The program is the one beside the lab's own in the
//! target folder, where `cargo test --workspace` puts it; without it, it is built. One run at a time, so that none
//! starves another; one that found the machine too busy is run again.

mod ends;
mod rig;

use rig::*;
use serde_json::Value;

#[test]
fn a_calm_run_passes_and_its_kept_folder_can_be_judged_again() {
    let _turn = turn();
    let out = folder("calm");
    let ran = run("calm", &file(4, "", &expect("served_share", "at_least = 0.99")), &["--out", &out.text()]);
    assert_eq!(ran.status, 0, "{}", ran.said);
    let samples = ran.samples(&out);
    assert!(of(&samples, "try").count() > 60);
    assert_eq!(of(&samples, "lab").count(), 4, "a second each");
    assert!(of(&samples, "list_second").count() == 4 && of(&samples, "link_second").count() > 4);
    let again = lab(&["report", &out.text()]);
    assert_eq!(again.status, 0, "{}", again.said);
    assert!(out.path().join("report.html").is_file() && out.path().join("p2/operator.toml").is_file());
    let log = std::fs::read_to_string(out.path().join("p2/log.txt")).expect("its log");
    assert!(log.contains("p2 listens on"), "{log}");
}

#[test]
fn a_kill_is_seen_and_the_process_is_back() {
    let _turn = turn();
    let out = folder("kill");
    let step = "[[at]]\nat = \"7s\"\ndo = \"restart\"\nwho = \"p1\"\nby = \"kill\"\ndown = \"1s\"\nlabel = \"dies\"\n";
    let expected = expect("share_lost", "after = \"dies\"\nat_most = 0.3");
    let ran = run("kill", &file(15, step, &expected), &["--out", &out.text()]);
    assert!(ran.status == 0, "{}", ran.said);
    let samples = ran.samples(&out);
    assert_eq!(events(&samples, 1), ["started", "ready", "killed", "exited", "started", "ready"]);
    assert_eq!(events(&samples, 0), ["started", "ready"]);
    let faults: Vec<&Value> = of(&samples, "fault").collect();
    assert_eq!(
        (faults.len(), &faults[0]["label"], &faults[0]["ends_us"]),
        (1, &"dies".into(), &8_000_000.into())
    );
    let last = of(&samples, "try").filter(|t| t["asked_us"].as_u64() > Some(11_000_000));
    assert!(last.filter(|t| t["proxy"] == 1).count() > 0, "it is dealt to again");
}

#[test]
fn a_process_that_does_not_end_when_it_is_asked_to_is_killed_and_started_again() {
    let _turn = turn();
    let out = folder("deaf");
    let steps = "[[at]]\nat = \"1s\"\ndo = \"stop\"\nwho = \"p0\"\n\
                 [[at]]\nat = \"1500ms\"\ndo = \"restart\"\nwho = \"p0\"\nby = \"term\"\ndown = \"200ms\"\n";
    let ran = run("deaf", &file(5, steps, ""), &["--out", &out.text()]);
    assert!(ran.status != 2, "{}", ran.said);
    let seen = events(&ran.samples(&out), 0);
    assert_eq!(seen, ["started", "ready", "stopped", "termed", "killed", "exited", "started", "ready"]);
}

#[test]
fn a_port_that_is_taken_is_named_and_nothing_is_run() {
    let _turn = turn();
    let taken = std::net::TcpListener::bind("127.93.11.2:0").expect("a port");
    let port = taken.local_addr().expect("an address").port();
    let fleet = format!("first_address = \"127.93.11.1\"\nport = {port}\n");
    let text = file(3, "", "").replace("[fleet]\n", &format!("[fleet]\n{fleet}"));
    let ran = run("taken", &text, &[]);
    assert_eq!(ran.status, 3, "{}", ran.said);
    assert!(ran.said.contains("no address for p1"), "{}", ran.said);
}

#[test]
fn a_program_that_ends_at_once_is_named_with_its_last_words() {
    let _turn = turn();
    let text = file(3, "", "").replace("[fleet]\n", "[fleet]\nmore = \"nonsense = 1\"\n");
    let ran = run("nonsense", &text, &[]);
    assert_eq!(ran.status, 3, "{}", ran.said);
    assert!(ran.said.contains("p0 has ended") && ran.said.contains("nonsense"), "{}", ran.said);
}

#[test]
fn every_mistake_of_a_file_is_named_with_its_line() {
    let text = file(3, "[[at]]\nat = \"9s\"\ndo = \"kill\"\nwho = \"p70\"\n", "")
        .replace("proxies = 3", "proxys = 3");
    let path = written("mistakes", &text.replace("requests_per_s = 40", "requests_per_s = \"many\""));
    let ran = lab(&["check", &path.text()]);
    assert_eq!(ran.status, 2);
    for word in ["fleet.proxys is unknown", "load.requests_per_s: \"many\"", "at.at: \"9s\"", "4 mistakes"] {
        assert!(ran.said.contains(word), "{word}: {}", ran.said);
    }
    assert!(ran.said.contains(":4:1"), "{}", ran.said);
}

#[test]
fn an_experiment_whose_fault_met_no_request_fails_as_proving_nothing() {
    let _turn = turn();
    let step = "[[at]]\nat = \"2s\"\ndo = \"kill-boxes\"\nwho = \"b0\"\nlabel = \"dies\"\n";
    let expected = expect("time_to_full_service_s", "after = \"dies\"\nat_most = 100");
    let text = file(3, step, &expected).replace("requests_per_s = 40", "requests_per_s = 0.1");
    let ran = run("nothing", &text, &[]);
    assert_eq!(ran.status, 1, "{}", ran.said);
    assert!(ran.said.contains("proves nothing"), "{}", ran.said);
}

#[test]
fn two_runs_at_once_do_not_meet() {
    let _turn = turn();
    let text = file(4, "", &expect("served_share", "at_least = 0.99"));
    let runs = ["one", "two"].map(|name| {
        let text = text.clone();
        std::thread::spawn(move || run(name, &text, &[]))
    });
    for one in runs {
        let ran = one.join().expect("a run");
        assert_eq!(ran.status, 0, "{}", ran.said);
    }
}

#[test]
fn seeds_are_repeated_and_experiments_compared_in_pairs() {
    let _turn = turn();
    let (first, second) = (written("first", &file(2, "", "")), written("second", &file(2, "", "")));
    let program = program().display().to_string();
    let with = ["--quiet", "--program", &program, "--seed", "7"];
    let [first, second] = [first.text(), second.text()];
    let repeated = lab(&[&["repeat", &first, "--seeds", "2"], &with[..]].concat());
    assert!(repeated.said.contains("seed 7") && repeated.said.contains("seed 8"), "{}", repeated.said);
    assert!(repeated.said.contains("served_share"), "{}", repeated.said);
    let compared = lab(&[&["compare", &first, &second, "--pairs", "1"], &with[..]].concat());
    assert!(compared.said.contains("served_share") && compared.status != 2, "{}", compared.said);
}
