use super::*;
use shaletide_balancer::{ClassId, TenantId};
use shaletide_config::operator::read;

fn setup(classes: &str, tenants: &str) -> Setup {
    let class = |name| format!("[[class]]\nname = \"{name}\"\n");
    let tenant = |name| format!("[[tenant]]\nname = \"{name}\"\nquota = 5.0\n");
    let text = format!(
        "[request]\notherwise = \"a\"\n[[listener]]\naddress = \"127.0.0.1:8080\"\n{}{}\
         [[pool]]\nname = \"p\"\nboxes = [\"127.0.0.1:1\"]\n[[pool]]\nname = \"q\"\nboxes = [\"127.0.0.1:2\"]\n\
         [[route]]\nname = \"r\"\nclass = \"b\"\ntenant = \"x\"\npools = [\"p\", \"q\"]\n\
         [[route]]\nname = \"s\"\npools = [\"q\"]\n",
        classes.split(' ').map(class).collect::<String>(),
        tenants.split(' ').map(tenant).collect::<String>(),
    );
    Setup::from_file(read("f", &text).unwrap_or_else(|report| panic!("{report}")), String::new())
}

#[test]
fn classes_and_tenants_keep_their_numbers_across_reloads() {
    let old = setup("a b", "x y");
    let next = old.prepare_reload(setup("c b a", "z y x")).unwrap();
    let names: Vec<&str> = next.operator.classes.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(names, ["a", "b", "c"]);
    assert_eq!(next.operator.tenants, ["x", "y", "z"]);
    assert_eq!(next.operator.request_format.default_class, Some(ClassId(0)));
    let when = &next.operator.routes[0].conditions;
    assert_eq!((&when.classes[..], &when.tenants[..]), (&[ClassId(1)][..], &[TenantId(0)][..]));
    let fewer = old.prepare_reload(setup("a b", "x")).unwrap_err();
    assert_eq!(fewer, ["tenant.name: y was removed"]);
}

/// Guards against requests that are given up too late to be answered 503 or 502, as the balancer assumes exact timers.
#[test]
fn pools_allow_for_the_lateness_of_the_driver() {
    let lateness: Vec<_> = setup("a b", "x y").pools().iter().map(|p| p.config.timer_lateness).collect();
    assert_eq!(lateness, [shaletide_net::Driver::USUAL_TIMER_LATENESS; 2]);
}

#[test]
fn failover_is_possible_only_where_a_route_has_another_pool() {
    let spare: Vec<bool> = setup("a b", "x y").pools().iter().map(|p| p.config.has_failover_pool).collect();
    assert_eq!(spare, [true, true]);
    let mut one = setup("a b", "x y");
    one.operator.routes.remove(0);
    let spare: Vec<bool> = one.pools().iter().map(|p| p.config.has_failover_pool).collect();
    assert_eq!(spare, [false, false]);
}
