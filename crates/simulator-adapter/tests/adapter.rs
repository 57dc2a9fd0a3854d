//! The adapter, tested with handwritten lines of the wire protocol.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"blend":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.1},
"costs":{"cross_zone":0.02,"waste":0.1},"customers":[{"name":"north","quota_rps":50.0,"share":1.0}],"discovery":"automatic","position":0,"group_size":1,
"granularity_us":5000,"kinds":["big","small"],"my_zone":"east","zones":["east","west"],"novelty":[1,{"a":2}],
"limits":{"cancel":true,"max_attempts":3,"parallel_tries":true,"probes":true},"over_share_worth":0.1,
"profiles":[{"name":"read","aim_us":300000,"deadline_us":900000,"effect":"free","gain":1.0,"late_worth":0.0},
{"name":"pay","aim_us":300000,"deadline_us":900000,"effect":"single_shot","gain":4.0,"late_worth":0.2},
{"name":"vote","aim_us":300000,"deadline_us":900000,"effect":"guarded","key_scope":"zone","window_us":500000,
"gain":4.0,"late_worth":0.2}],
"rules":{"answer_slack_us":16000,"cold_from":0.3,"fall_multiple":2.5,"must_ask_in_us":9000000,
"ramp_time_us":9000000,"stop_sending_within_us":500000,"tip_after_us":2000000}}"#;

fn create(settings: &str) -> String {
    format!("[\"CREATE\",\"proxy-3\",99,{}]\n", settings.replace('\n', ""))
}

const LIST: &str = r#"["SNAPSHOT_ROWS",0,[["east",0,"big","10.0.0.1:80","IN",1,null]]]
["VIEW","proxy-3",0,4,"warm_copy"]
"#;

/// Runs the adapter on `input`. Returns its standard output, its standard error and whether it exited with status 0.
fn run(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shaletide-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let _ = stdin.write_all(input.as_bytes()); // fails if the adapter has ended at an early line
    drop(stdin);
    let output = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (text(output.stdout), text(output.stderr), output.status.success())
}

#[test]
fn empty_batch_gets_empty_reply_and_end_of_input_exits_0() {
    assert_eq!(run("[\"TICK\",5]\n[\"END\"]\n"), ("[\"YIELD\"]\n".into(), String::new(), true));
    assert_eq!(run(""), (String::new(), String::new(), true));
}

#[test]
fn request_is_dispatched_and_its_response_ends_it() {
    let request = r#"["JOB_IN","proxy-3","00000000000000ab",null,900000,null,"north",0,"read"]"#;
    let end = r#"["RETURNED","proxy-3","00000000000000ab",0,"10.0.0.1:80",1,900,true,{"active":3,"new":1}]"#;
    let input = format!(
        "[\"TICK\",1000]\n{}{LIST}[\"END\"]\n[\"TICK\",2000]\n{request}\n[\"END\"]\n[\"TICK\",3000]\n{end}\n[\"END\"]\n",
        create(SETTINGS)
    );
    let (output, errors, succeeded) = run(&input);
    assert!(succeeded, "{errors}");
    let expected_reply = "[\"HAND_OFF\",\"proxy-3\",\"00000000000000ab\",\"10.0.0.1:80\",0]";
    assert_eq!(output.matches(expected_reply).count(), 1, "{output}");
    assert_eq!(output.lines().filter(|l| *l == "[\"YIELD\"]").count(), 3);
}

#[test]
fn request_without_backend_is_rejected_in_time() {
    let request = r#"["JOB_IN","proxy-3","00000000000000ab",null,900000,null,"north",0,"pay"]"#;
    let mut input = format!("[\"TICK\",1000]\n{}{request}\n[\"END\"]\n", create(SETTINGS));
    for (at, token) in (1..200).map(|n| (1000 + n * 5000, n)) {
        input += &format!("[\"TICK\",{at}]\n[\"TIMEOUT_FIRED\",\"proxy-3\",{token}]\n[\"END\"]\n");
    }
    let (output, errors, succeeded) = run(&input);
    assert!(succeeded, "{errors}");
    let rejections = output.matches("[\"BOUNCE\",\"proxy-3\",\"00000000000000ab\",1000000]").count();
    assert_eq!(
        rejections, 1,
        "expected one rejection, with the base term of an ejection as the retry delay: {output}"
    );
}

#[test]
fn killed_instance_is_removed_and_can_be_created_again() {
    let (create_line, kill_line) = (create(SETTINGS), "[\"KILLED\",\"proxy-3\"]\n");
    let (output, _, succeeded) =
        run(&format!("[\"TICK\",5]\n{create_line}{kill_line}{create_line}{LIST}[\"END\"]\n"));
    assert!(succeeded && output.ends_with("[\"YIELD\"]\n"), "{output}");
    let (_, errors, succeeded) = run(&format!("[\"TICK\",5]\n{create_line}{kill_line}{LIST}[\"END\"]\n"));
    assert!(!succeeded && errors.contains("known instance"), "{errors}");
}

/// Each malformed line ends the process, with its line number and the expected form on standard error.
#[test]
fn malformed_line_is_reported_and_ends_the_process() {
    let request = |rest: &str| format!("[\"JOB_IN\",\"proxy-3\",{rest}]");
    let cases = [
        ("no json".into(), "JSON"),
        ("{\"TICK\":1}".into(), "array"),
        ("[]".into(), "name"),
        ("[\"HELLO\",1]".into(), "unknown message HELLO"),
        ("[\"VIEW\",\"proxy-3\",0]".into(), "4 values"),
        ("[\"VIEW\",\"proxy-3\",9,1,\"incr\"]".into(), "roster number"),
        ("[\"VIEW\",\"proxy-3\",0,1,\"odd\"]".into(), "incr, total"),
        ("[\"VIEW\",\"proxy-9\",0,1,\"incr\"]".into(), "known instance"),
        ("[\"SNAPSHOT_ROWS\",16,[]]".into(), "0 to 15"),
        ("[\"SNAPSHOT_ROWS\",1,[[\"east\",0]]]".into(), "7 values"),
        ("[\"SNAPSHOT_ROWS\",1,[[\"east\",0,\"big\",\"a:1\",\"UP\",1,null]]]".into(), "IN, LAME or OUT"),
        ("[\"TIMEOUT_FIRED\",\"proxy-3\",\"7\"]".into(), "token"),
        (request("\"xyz\",null,900,null,null,0,\"read\""), "16 lower-case hex"),
        (request("\"00000000000000ab\",null,-4,null,null,0,\"read\""), "time left"),
        (request("\"00000000000000ab\",null,900,null,null,0,\"none\""), "known class"),
        (request("\"00000000000000ab\",null,900,null,\"none\",0,\"read\""), "known tenant"),
        ("[\"RETURNED\",\"proxy-3\",\"00000000000000ab\",0,\"10.0.0.1:80\",8,1,true,null]".into(), "0 to 7"),
        (
            "[\"RETURNED\",\"proxy-3\",\"00000000000000ab\",0,\"10.0.0.1:80\",1,1,1,null]".into(),
            "true or false",
        ),
        ("[\"CREATE\",\"proxy-x\",1,{}]".into(), "proxy-3"),
    ];
    for (line, expected) in cases {
        let line: String = line;
        let (_, errors, succeeded) =
            run(&format!("[\"TICK\",1]\n{}{LIST}{line}\n[\"END\"]\n", create(SETTINGS)));
        assert!(!succeeded, "accepted {line}");
        assert!(errors.contains("line 5:") && errors.contains(expected), "{line}: {errors}");
        assert!(!errors.contains("panicked"), "{errors}");
    }
    let (_, errors, succeeded) = run("[\"END\"]\n");
    assert!(!succeeded && errors.contains("TICK first"), "{errors}");
}

#[test]
fn invalid_settings_are_reported_for_their_instance_with_the_key() {
    let cases = [
        ("\"group_size\":1,", "", "group_size"),
        ("\"group_size\":1,", "\"group_size\":0,", "group_size: expected a whole number, at least 1, got 0"),
        ("\"granularity_us\":5000", "\"granularity_us\":-5", "granularity_us"),
        ("\"my_zone\":\"east\"", "\"my_zone\":\"north\"", "my_zone"),
        ("\"free\"", "\"odd\"", "profiles[0].effect"),
        ("\"key_scope\":\"zone\",", "", "profiles[2].key_scope"),
        ("\"max_attempts\":3", "\"max_attempts\":\"3\"", "limits.max_attempts"),
        ("\"cold_from\":0.3", "\"cold_from\":1.3", "cold_from"),
        ("\"aim_us\":300000", "\"aim_us\":1300000", "aim_us"),
        ("\"name\":\"pay\"", "\"name\":\"read\"", "profiles[1].name"),
    ];
    for (from, to, key) in cases {
        assert!(SETTINGS.contains(from));
        let settings = SETTINGS.replacen(from, to, 1);
        let (output, errors, succeeded) =
            run(&format!("[\"TICK\",1]\n{}{LIST}[\"END\"]\n", create(&settings)));
        assert!(succeeded, "{errors}");
        assert!(output.starts_with("[\"BROKEN\",\"proxy-3\",") && output.contains(key), "{to}: {output}");
    }
}
