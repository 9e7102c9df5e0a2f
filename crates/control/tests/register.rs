//! Tests of the configuration register.

use proptest::prelude::*;
use toucanquay_control::register::{Register, SectionVersion, Snapshot};
use toucanquay_model::{Revision, section::State};

const PRESENT: &str = "[services.lookup]\n";
const LEAVING: &str = "state = \"leaving\"\n";

fn item(team: &str, revision: Revision, text: Option<&str>) -> SectionVersion {
    SectionVersion {
        team: team.to_owned(),
        revision,
        text: text.map(str::to_owned),
    }
}

fn register_with(items: &[SectionVersion]) -> Register {
    let mut register = Register::new();
    let revision = items.iter().map(|item| item.revision).max();
    register.merge(Snapshot {
        revision: revision.unwrap_or(0),
        items: items.to_vec(),
    });
    register
}

/// Guards against an accepted change that is reverted by an older section that arrives late.
#[test]
fn older_or_equal_section_changes_nothing() {
    let mut register = register_with(&[item("desk", 5, Some(LEAVING))]);

    let older = register.apply(item("desk", 4, Some(PRESENT)));
    let equal = register.apply(item("desk", 5, Some(PRESENT)));

    assert!(!older && !equal);
    assert_eq!(register.state("desk"), Some(State::Leaving));
    assert_eq!(register.revision(), 5);
}

/// Guards against a removed section that is restored by a process that does not know of the
/// removal, and against a team whose upstreams keep serving after its section was removed.
#[test]
fn removed_section_stays_removed_and_is_passed_on() {
    let mut register = register_with(&[item("desk", 5, Some(PRESENT))]);
    register.apply(item("desk", 7, None));
    register.advance_to(7);

    register.apply(item("desk", 5, Some(PRESENT)));

    assert_eq!(register.section("desk"), None);
    assert!(register.service("lookup").is_none());
    assert_eq!(register.state("desk"), Some(State::Leaving));
    assert_eq!(register.snapshot(5).items, [item("desk", 7, None)]);
}

/// Guards against a process that considers itself current although sections are missing.
#[test]
fn section_alone_does_not_make_the_register_current() {
    let mut register = Register::new();

    register.apply(item("desk", 5, Some(PRESENT)));

    assert!(!register.is_current());
    assert_eq!((register.revision(), register.revision_known()), (0, 5));
    register.advance_to(5);
    assert!(register.is_current());
    register.observe_revision(6);
    assert!(!register.is_current());
}

/// Guards against a text from a newer program version, or with an error, that puts a team out of
/// service or is not passed on.
#[test]
fn unreadable_text_keeps_the_section_before_it_in_force() {
    let mut register = register_with(&[item("desk", 5, Some(PRESENT))]);
    let text = Some("unheard_of = 1\n");

    let is_newer = register.apply(item("desk", 6, text));

    assert!(is_newer);
    assert!(register.service("lookup").is_some());
    assert!(register.parse_error("desk").is_some());
    assert_eq!(register.snapshot(5).items, [item("desk", 6, text)]);
    register.apply(item("desk", 7, Some(LEAVING)));
    assert!(register.parse_error("desk").is_none());
    assert_eq!(register.state("nobody"), None);
}

/// Guards against processes that assign one service to different teams.
#[test]
fn service_claimed_twice_belongs_to_the_team_that_sorts_first() {
    let sections = [item("b", 1, Some(PRESENT)), item("a", 2, Some(PRESENT))];

    let register = register_with(&sections);

    assert_eq!(register.service("lookup").unwrap().0, "a");
}

/// Guards against a document that can't be passed on because it exceeds the size of a message.
#[test]
fn pages_together_hold_each_section() {
    let text = "# ".to_owned() + &"x".repeat(1_000) + "\n";
    let items: Vec<SectionVersion> = (1..=20)
        .map(|revision| item(&format!("t{revision}"), revision, Some(&text)))
        .collect();
    let register = register_with(&items);
    let mut copy = Register::new();
    let mut pages = 0;

    while copy.revision() < register.revision() {
        let page = register.page(copy.revision(), 3_500);
        assert!(page.revision > copy.revision());
        assert!(page.items.len() <= 3);
        copy.merge(page);
        pages += 1;
    }

    assert_eq!(pages, 7);
    assert_eq!(copy.snapshot(0), register.snapshot(0));
    assert_eq!(register.page(0, 1).items.len(), 1);
}

fn section_history() -> impl Strategy<Value = Vec<(u8, Option<bool>)>> {
    prop::collection::vec((0..4_u8, prop::option::of(any::<bool>())), 1..30)
}

fn item_of_history(index: usize, team: u8, text: Option<bool>) -> SectionVersion {
    let text = text.map(|is_leaving| if is_leaving { LEAVING } else { PRESENT });
    item(&format!("t{team}"), index as u64 + 1, text)
}

proptest! {
    /// Guards against a state that depends on the order, loss or repetition of messages, and
    /// against a held or known revision that decreases.
    #[test]
    fn registers_that_pass_sections_on_agree(
        history in section_history(),
        queries in prop::collection::vec((0..3_usize, 0..3_usize, 1..5_000_usize), 0..60),
        early in any::<prop::sample::Index>(),
    ) {
        let mut registers = [Register::new(), Register::new(), Register::new()];
        for (index, (team, text)) in history.iter().enumerate() {
            registers[0].apply(item_of_history(index, *team, *text));
            registers[0].advance_to(index as u64 + 1);
        }
        // One section reaches another register early and out of order.
        let early = early.index(history.len());
        let (team, text) = history[early];
        registers[1].apply(item_of_history(early, team, text));
        for (from, to, bytes_max) in queries {
            let before = (registers[to].revision(), registers[to].revision_known());
            let page = registers[from].page(registers[to].revision(), bytes_max);
            registers[to].merge(page);
            let after = (registers[to].revision(), registers[to].revision_known());
            prop_assert!(after.0 >= before.0 && after.1 >= before.1);
            prop_assert!(after.0 <= after.1);
        }
        let source = registers[0].clone();
        for register in &mut registers[1..] {
            register.merge(source.snapshot(register.revision()));
            prop_assert!(register.is_current());
            prop_assert_eq!(register.snapshot(0), source.snapshot(0));
        }
    }
}
