//! Problems of syntax, of names and of conflicting values, each alone in an otherwise valid file: the report has this
//! problem at the right position and no other.

mod common;

use common::{check, problems, BASE};

#[test]
fn base_file_is_valid() {
    assert_eq!(problems(BASE), []);
}

#[test]
fn syntax_errors_are_reported() {
    check(&[
        ("tick = \"1ms\"", "tick = 1ms", (13, 8), "`1ms` is not quoted", "expected text in double quotes"),
        ("tick = \"1ms\"", "tick =", (13, 7), "there is no value here", "expected a value"),
        ("tick = \"1ms\"", "tick = \"1ms", (13, 12), "this text is not closed", "expected `\"`"),
        ("tick = \"1ms\"", "tick", (13, 5), "this key has no value", "expected `=`"),
        ("tick = \"1ms\"", "tick = \"\u{7}\"", (13, 9), "this character may not occur", "expected an escape"),
        (
            "tick = \"1ms\"",
            "max_attempts = 4",
            (13, 1),
            "`max_attempts` is defined twice",
            "expected a single definition",
        ),
        (
            "whole = 0.7",
            "whole = 0.7\n[rules]\nramp = \"1s\"",
            (20, 2),
            "`rules` is defined twice",
            "expected a single definition",
        ),
        ("[goal]", "[goal", (18, 6), "this header is not closed", "expected `]`"),
        ("[[pool]]", "[[pool]", (37, 8), "this header is not closed", "expected `]`"),
        (
            "cores = 4 }]",
            "cores = 4 }",
            (39, 9),
            "this value begins here and is not closed",
            "expected its end before the section in line 40",
        ),
        (
            "name = \"old\"",
            "name = \"\"\"old",
            (41, 8),
            "this value begins here and is not closed",
            "expected its end before the section in line 44",
        ),
        ("\"settle\"", "\"sett", (30, 13), "this text is not closed", "expected `\"`"),
    ]);
}

#[test]
fn unknown_names_are_reported() {
    check(&[
        (
            "max_attempts",
            "max_atempts",
            (12, 1),
            "unknown key `max_atempts` in [limits]",
            "did you mean `max_attempts`?",
        ),
        ("cancel = true", "worth = 1", (15, 1), "unknown key `worth` in [limits]", "it belongs to [[class]]"),
        (
            "cancel = true",
            "zzzzzz = 1",
            (15, 1),
            "unknown key `zzzzzz` in [limits]",
            "expected one of descriptors, ",
        ),
        (
            "kind = \"fast\"",
            "king = \"fast\"",
            (39, 58),
            "unknown key `king` in pool.boxes",
            "did you mean `kind`?",
        ),
        (
            "{ path = 1 }",
            "{ paht = 1 }",
            (21, 11),
            "unknown key `paht` in request.class",
            "did you mean `path`?",
        ),
        ("[goal]", "[gaol]", (18, 2), "unknown section `gaol`", "did you mean [goal]?"),
        ("[goal]", "[zzzzzz]", (18, 2), "unknown section `zzzzzz`", "expected one of [proxy], [[listener]]"),
        (
            "[proxy]",
            "cancel = true\n[proxy]",
            (1, 1),
            "key `cancel` outside of all sections",
            "it belongs to [limits]",
        ),
        (
            "class = \"settle\"",
            "class = \"setle\"",
            (50, 9),
            "route.class: there is no class `setle`",
            "did you mean \"settle\"?",
        ),
        (
            "[\"milford\"]",
            "[\"milford\", \"x\"]",
            (51, 22),
            "route.tenant: there is no tenant `x`",
            "expected \"milford\"",
        ),
        (
            "\"new\", \"old\"",
            "\"new\", \"oldd\", \"old\"",
            (55, 17),
            "route.pools: there is no pool `oldd`",
            "did you mean \"old\"?",
        ),
        (
            "otherwise = \"read\"",
            "otherwise = \"reed\"",
            (22, 13),
            "request.otherwise: there is no class `reed`",
            "did you mean \"read\"?",
        ),
    ]);
}

#[test]
fn conflicting_values_are_reported() {
    check(&[
        ("position = 1", "position = 2", (5, 12), "proxy.position: 2 is not less than proxies", "expected a whole number less than 2"),
        ("aim = \"400ms\"", "aim = \"2s\"", (26, 7), "class.aim: the aim is above the deadline", "expected an aim of at most 1s"),
        ("aim = \"400ms\"\ndeadline = \"1s\"", "deadline = \"300ms\"", (26, 12), "class.aim: the aim is above", "expected an aim of at most 300ms"),
        ("key_scope = \"bay\"\n", "", (29, 1), "class.key_scope is missing", "expected `key_scope`: \"all\""),
        ("key_window = \"1.2s\"\n", "", (29, 1), "class.key_window is missing", "expected `key_window`: a time"),
        ("key_window = \"1.2s\"", "key_window = \"1.2\"", (33, 14), "class.key_window: `1.2` is not a valid time", "expected a time"),
        ("methods = [\"GET\"]", "key_scope = \"all\"", (28, 13), "class.key_scope: the class is not keyed but safe", "expected only in a class with effect"),
        ("discovery = \"127.0.0.1:8500\"", "discovery = \"127.0.0.1:8500\"\nboxes = [\"127.0.0.1:1\"]", (42, 13), "pool.discovery: the pool has `boxes` as well", "expected exactly one"),
        ("discovery = \"127.0.0.1:8500\"\nmust_ask_within = \"9s\"\n", "", (40, 1), "the pool has neither `boxes` nor `discovery`", "expected exactly one"),
        ("discovery = \"127.0.0.1:8500\"", "boxes = [\"127.0.0.1:1\"]", (43, 19), "pool.must_ask_within: the pool has no `discovery`", "expected only together"),
        ("must_ask_within = \"9s\"", "must_ask_within = \"9s\"\ndiscovery_mode = \"push\"", (43, 19), "pool.must_ask_within: the pool uses discovery_mode", "expected only with"),
        ("discovery = \"127.0.0.1:8500\"\nmust_ask_within = \"9s\"", "boxes = []", (42, 9), "pool.boxes: this list is empty", "expected a list"),
        ("\"new\", \"old\"", "\"new\", \"new\"", (55, 17), "route.pools: duplicate value", "expected each value once"),
        ("pools = [\"old\"]", "", (56, 1), "route.pools is missing", "expected `pools`: a name"),
        ("pools = [\"old\"]", "pools = []", (59, 9), "route.pools: this list is empty", "expected a name"),
        ("pools = [\"new\", \"old\"]", "pools = [\"old\"]", (38, 8), "no route leads to the pool `new`", "expected it in the `pools`"),
        ("bay = 7", "class = [\"settle\"]\ntenant = \"milford\"\npath = \"/eu/x\"\nmethod = \"POST\"\nheader = { name = \"x-kind\", value = \"eu\" }", (57, 8), "no request can reach the route `b`", "the earlier route `a`"),
        ("name = \"b\"", "name = \"a\"", (57, 8), "the route `a` is defined twice", "expected another name"),
    ]);
}

#[test]
fn missing_keys_are_reported() {
    for (missing, summary) in [
        ("listener", "[[listener]] is missing"),
        ("pool", "[[pool]] is missing"),
        ("class", "[[class]] is missing"),
    ] {
        let small = "[[listener]]\naddress = \"127.0.0.1:1\"\n[[class]]\nname = \"c\"\n[[pool]]\nname = \"p\"\nboxes = [\"127.0.0.1:2\"]\n";
        let start = small.find(&format!("[[{missing}]]")).unwrap();
        let end = small[start + 1..].find("\n[[").map_or(small.len(), |at| start + at + 2);
        let found = problems(&format!("{}{}", &small[..start], &small[end..]));
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!((found[0].line, found[0].summary.as_str()), (0, summary));
    }
    for empty in ["", "\n \n", "# only a comment\n", "\u{feff}"] {
        let found = problems(empty);
        assert_eq!(found.len(), 1);
        assert_eq!(found[0].summary, "the file is empty");
    }
    check(&[("name = \"milford\"\n", "", (34, 1), "tenant.name is missing", "expected `name`: a name")]);
}

/// A syntax error in one section, and problems in other sections: the report has the syntax error without its
/// consequences, and the other problems.
#[test]
fn syntax_error_hides_no_problem_elsewhere() {
    let other_sections = "[goal]\nwhole = 2\n[[class]]\nname = \"c\"\n[[listener]]\naddress = \"127.0.0.1:1\"\n[[pool]]\n\
                name = \"p\"\nboxes = [\"127.0.0.1:2\"]\n[[route]]\nname = \"r\"\npools = \"p\"\nclass = \"d\"\n";
    let cases = [
        "  [[tenant]]\n  name\n  quota = 1\n",
        "  [[tenant\n  name = 1\n",
        "\t[[tenant]\nname = \"p\"\nname = \"q\"\n",
        "[[tenant]]\nquota = 1\nname = \"a\n",
        "[[tenant]]\nquota = 1\nname: \"a\"\n",
        "[[tenant]]\nquota = 1\nna me = \"a\"\n",
        "[[tenant]]\nname = \"a\"\nquota = [1,\n2,\n",
        "[[tenant]]\nname = \"a\"\nquota = { a = 1,\n",
        "[[tenant]]\nquota = 1\nname = \"\"\"a\n",
        "[[tenant]]\nquota = 1\nname = '''a\n",
        "[[tenant]]\nname = \"a\"\nquota = 1..2\n",
        "[[tenant]]\nname = \"a\"\nquota = \n",
        "= 1\n",
        "]\n",
        "[ten ant]\nname = 1\n",
        "[]\nname = 1\n",
    ];
    for broken in cases {
        for text in [format!("{broken}{other_sections}"), format!("{other_sections}{broken}")] {
            let found = problems(&text);
            let summaries: Vec<&str> = found.iter().map(|p| p.summary.as_str()).collect();
            assert!(summaries.contains(&"goal.whole: `2` is out of range"), "{text}{summaries:#?}");
            // The unreadable header may be that of a class, so the unknown class is not reported.
            let unknown_classes = usize::from(!broken.starts_with("[ten ant]"));
            let classes =
                summaries.iter().filter(|summary| **summary == "route.class: there is no class `d`").count();
            assert_eq!(
                (classes, summaries.len()),
                (unknown_classes, 2 + unknown_classes),
                "{text}{summaries:#?}"
            );
        }
    }
}

#[test]
fn first_occurrence_is_shown_beside_a_duplicate() {
    let found = problems(&BASE.replace("name = \"b\"", "name = \"a\""));
    assert!(
        found[0].block.contains("49 | name = \"a\"") && found[0].block.contains("first here"),
        "{}",
        found[0].block
    );
    let found = problems(&BASE.replace("127.0.0.1:9001", "127.0.0.1:9002"));
    assert!(found[0].block.contains("first here"), "{}", found[0].block);
}
