//! The file that extends NODE_CONFIG: the keys that it may contain, and the rejection of all others with their name in
//! NODE_CONFIG.

use shaletide_balancer::{ClassId, Micros, PoolId, TenantId};
use shaletide_config::operator::{read_extension, NodeConfigExtension, PlatformNames};
use shaletide_config::schema::{NodeConfigKey, Shape, SECTIONS};
use shaletide_config::Report;
use shaletide_routing::{AttributeSource, ResponseRules};

fn read(text: &str) -> Result<NodeConfigExtension, Report> {
    let names = PlatformNames { classes: vec!["read".into(), "pay".into()], tenants: vec!["north".into()] };
    read_extension("with.toml", text, &names)
}

fn read_valid(text: &str) -> NodeConfigExtension {
    read(text).unwrap_or_else(|report| panic!("{report}"))
}

#[test]
fn empty_extension_adds_nothing() {
    let added = read_valid("# nothing\n");
    assert_eq!((added.limits.answer_stall, added.limits.head_timeout), (None, Micros(2_100_000)));
    assert_eq!((added.deduplication_group, added.zone, added.pools.len()), (None, None, 0));
    assert_eq!(added.routes.len(), 1);
    assert_eq!(added.routes[0].pools, [PoolId(0)]);
    assert_eq!(added.routes[0].response_rules, ResponseRules::platform());
}

#[test]
fn extension_adds_pools_and_routes() {
    let added = read_valid(
        "[limits]\nanswer_stall = \"40ms\"\n[request]\nbay = { path = 3 }\n[answers]\nserved = [\"200-299\"]\n\
         [[pool]]\nname = \"far\"\nboxes = [\"127.0.0.1:9001\"]\n\
         [[route]]\nname = \"a\"\nclass = \"pay\"\ntenant = \"north\"\npools = [\"far\", \"platform\"]\n\
         [[route]]\nname = \"b\"\npools = \"platform\"\n",
    );
    assert_eq!(
        (added.limits.answer_stall, added.deduplication_group),
        (Some(Micros(40_000)), Some(AttributeSource::Path(3)))
    );
    assert_eq!(added.pools[0].name, "far");
    assert_eq!(added.routes[0].pools, [PoolId(1), PoolId(0)]);
    assert_eq!(
        (&added.routes[0].conditions.classes[..], &added.routes[0].conditions.tenants[..]),
        (&[ClassId(1)][..], &[TenantId(0)][..])
    );
    // Response rules that the file does not set are those of the platform.
    assert!(added.routes[1].response_rules.served.contains(299));
    assert_eq!(added.routes[1].response_rules.not_executed, ResponseRules::platform().not_executed);
}

#[test]
fn platform_pool_is_first_without_routes() {
    let added = read_valid("[[pool]]\nname = \"far\"\nboxes = [\"127.0.0.1:9001\"]\n");
    assert_eq!(added.routes[0].pools, [PoolId(0), PoolId(1)]);
}

#[test]
fn key_of_node_config_is_rejected_with_its_name() {
    let report =
        read("[limits]\nmax_attempts = 3\ntick = \"1ms\"\nbody_timeout = \"1s\"\n[[class]]\nname = \"x\"\n")
            .unwrap_err();
    let got: Vec<(usize, &str)> = report.problems().iter().map(|p| (p.line, p.expected.as_str())).collect();
    let expected = [
        (2, "NODE_CONFIG sets this as settings.limits.max_attempts"),
        (3, "NODE_CONFIG sets this as settings.granularity_us"),
        (5, "NODE_CONFIG sets this as settings.profiles"),
    ];
    assert_eq!(got, expected);
}

#[test]
fn every_key_is_accepted_or_rejected_as_the_schema_says() {
    for section in SECTIONS.iter().filter(|s| s.shape == Shape::Table) {
        for key in section.keys {
            let value = match key.default {
                shaletide_config::schema::DefaultValue::Value(text) => text,
                _ if key.name == "answer_stall" => "\"40ms\"",
                _ if key.name == "seed" => "\"1\"",
                _ if key.name == "otherwise" => "\"read\"",
                _ => "{ path = 2 }",
            };
            let report = read(&format!("[{}]\n{} = {value}\n", section.name, key.name));
            let got = report.map_or_else(|r| r.problems()[0].expected.clone(), |_| String::new());
            match key.node_config {
                NodeConfigKey::Extends => assert_eq!(got, "", "{}.{}", section.name, key.name),
                NodeConfigKey::Named(word) => assert_eq!(got, format!("NODE_CONFIG sets this as {word}")),
                NodeConfigKey::Fixed => assert_eq!(got, "the platform fixes this value"),
            }
        }
    }
}

#[test]
fn problems_are_reported_as_in_the_operators_file() {
    let text = "[[pool]]\nname = \"platform\"\nboxes = [\"127.0.0.1:1\"]\n[[route]]\nname = \"a\"\nclass = \"reed\"\npools = \"platfrom\"\n";
    let report = read(text).unwrap_err();
    let got: Vec<(usize, &str)> = report.problems().iter().map(|p| (p.line, p.expected.as_str())).collect();
    assert_eq!(
        got,
        [(2, "expected another name"), (6, "did you mean \"read\"?"), (7, "did you mean \"platform\"?")]
    );
    let unreachable_pool =
        "[[route]]\nname = \"a\"\npools = \"far\"\n[[pool]]\nname = \"far\"\nboxes = [\"127.0.0.1:1\"]\n";
    assert!(read(unreachable_pool).unwrap_err().problems()[0]
        .summary
        .contains("no route leads to the pool `platform`"));
}
