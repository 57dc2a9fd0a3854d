//! Tests of `timeline` that need its private items.

use super::*;

fn plan_of(steps: &str) -> Vec<Due> {
    let text = format!(
        "name = \"x\"\nlength = \"20s\"\n[fleet]\nproxies = 4\n[boxes]\ncount = 4\n[load]\n\
         requests_per_s = 1\n[[class]]\nname = \"read\"\n{steps}"
    );
    plan(&Experiment::read("x.toml", &text).expect("a sound file"))
}

#[test]
fn a_restart_over_a_spread_takes_one_after_the_other() {
    let plan = plan_of(
        "[[at]]\nat = \"4s\"\ndo = \"restart\"\nwho = [\"p1\", \"p3\"]\nover = \"2s\"\ndown = \"500ms\"\n\
         directory = \"fresh\"",
    );
    let ms = |due: &Due| due.at.as_millis();
    assert_eq!(plan.iter().map(ms).collect::<Vec<_>>(), [4000, 4000, 4500, 5000, 5500]);
    assert_eq!(plan[0].action, Action::Mark(0));
    assert_eq!(plan[1].action, Action::Signal(1, Signal::Term));
    assert_eq!(plan[4].action, Action::Start { proxy: 3, fresh: true });
}

#[test]
fn what_lasts_is_taken_back() {
    let plan = plan_of("[[at]]\nat = \"1s\"\ndo = \"list\"\nstate = \"down\"\nlasts = \"3s\"");
    let last = plan.last().expect("three");
    assert_eq!((last.at.as_secs(), last.action.clone()), (4, Action::List(ListState::Up)));
    let plan = plan_of("[[at]]\nat = \"1s\"\ndo = \"stop\"\nwho = \"p0\"\nlasts = \"3s\"");
    assert_eq!(plan.last().expect("three").action, Action::Signal(0, Signal::Continue));
}
