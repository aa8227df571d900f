//! Stateful fuzz of the table: rows come by lists (also stale ones), watches
//! and peers, in any order. What is in force never reverts, and what was
//! accepted is in force once a process has come as far.

use mastweir_core::table::{Delta, Drain, Row, RowKey, RowKind, Table, VersionedRow};
use proptest::{prelude::*, test_runner::Config};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;

const HOLDERS: usize = 3;
const ROWS: usize = 4;

/// What happens next.
#[derive(Clone, Debug)]
pub enum Step {
    /// An operator writes a row, or deletes it.
    Write(usize, bool),
    /// A holder lists, as the platform was so many writes ago.
    List(usize, usize),
    /// A holder's watch delivers the next change after what it has.
    Watch(usize),
    /// A holder fetches what it lacks from another.
    Fetch(usize, usize),
    /// A holder's fetch is answered by what the other had before.
    FetchLate(usize, usize),
    /// A holder restarts with nothing.
    Restart(usize),
}

/// The reference is the platform's history.
#[derive(Clone, Debug)]
pub struct History;

type Write = (RowKey, Option<Row>);

impl ReferenceStateMachine for History {
    type State = Vec<Write>;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Vec<Write>> {
        Just(Vec::new()).boxed()
    }

    fn transitions(_: &Vec<Write>) -> BoxedStrategy<Step> {
        let holder = 0..HOLDERS;
        prop_oneof![
            4 => (0..ROWS, prop::bool::weighted(0.3)).prop_map(|(i, gone)| Step::Write(i, gone)),
            2 => (holder.clone(), 0..6_usize).prop_map(|(i, age)| Step::List(i, age)),
            4 => holder.clone().prop_map(Step::Watch),
            4 => (holder.clone(), holder.clone()).prop_map(|(a, b)| Step::Fetch(a, b)),
            1 => (holder.clone(), holder.clone()).prop_map(|(a, b)| Step::FetchLate(a, b)),
            1 => holder.prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut history: Vec<Write>, step: &Step) -> Vec<Write> {
        if let Step::Write(i, gone) = step {
            let key = RowKey::new(RowKind::Drain, &format!("s{i}"));
            let reason = history.len().to_string();
            let row = (!gone).then_some(Row::Drain(Drain { reason }));
            history.push((key, row));
        }
        history
    }
}

/// The holders of a table, and a delta that is on its way to each.
#[derive(Debug)]
pub struct Holders {
    tables: Vec<Table>,
    late: Vec<Option<Delta>>,
    seen: Vec<u64>,
}

/// The rows after the first `upto` writes, as a list gives them.
fn listed(history: &[Write], upto: usize) -> Vec<VersionedRow> {
    let mut rows: BTreeMap<RowKey, VersionedRow> = BTreeMap::new();
    for (i, (key, row)) in history[..upto].iter().enumerate() {
        let version = i as u64 + 1;
        match row {
            Some(row) => {
                let row = Some(row.clone());
                rows.insert(key.clone(), VersionedRow { key: key.clone(), version, row });
            }
            None => {
                rows.remove(key);
            }
        }
    }
    rows.into_values().collect()
}

impl StateMachineTest for Holders {
    type SystemUnderTest = Self;
    type Reference = History;

    fn init_test(_: &Vec<Write>) -> Self {
        Self {
            tables: vec![Table::default(); HOLDERS],
            late: vec![None; HOLDERS],
            seen: vec![0; HOLDERS],
        }
    }

    fn apply(mut holders: Self, history: &Vec<Write>, step: Step) -> Self {
        match step {
            Step::Write(..) => (),
            Step::List(i, age) => {
                let upto = history.len().saturating_sub(age);
                let rows = listed(history, upto);
                let delta = Delta { after: 0, upto: upto as u64, rows };
                holders.tables[i].merge(&delta);
            }
            Step::Watch(i) => {
                let next = holders.tables[i].complete() as usize;
                if let Some((key, row)) = history.get(next) {
                    let version = next as u64 + 1;
                    let stored = VersionedRow { key: key.clone(), version, row: row.clone() };
                    holders.tables[i].apply_event(stored);
                }
            }
            Step::Fetch(i, from) => {
                let delta = holders.tables[from].delta_since(holders.tables[i].digest());
                holders.late[i] = Some(delta.clone());
                holders.tables[i].merge(&delta);
            }
            Step::FetchLate(i, from) => {
                let delta = holders.tables[from].delta_since(holders.tables[i].digest());
                if let Some(late) = holders.late[i].replace(delta) {
                    holders.tables[i].merge(&late);
                }
            }
            Step::Restart(i) => {
                holders.tables[i] = Table::default();
                holders.late[i] = None;
                holders.seen[i] = 0;
            }
        }
        for (table, seen) in holders.tables.iter().zip(&mut holders.seen) {
            assert!(table.complete() >= *seen, "a table reverted");
            *seen = table.complete();
        }
        holders
    }

    fn check_invariants(holders: &Self, history: &Vec<Write>) {
        for table in &holders.tables {
            let complete = table.complete() as usize;
            let wanted = listed(history, complete);
            let held: Vec<(RowKey, Row)> =
                table.rows().map(|(key, row)| (key.clone(), row.clone())).collect();
            let wanted: Vec<(RowKey, Row)> =
                wanted.into_iter().filter_map(|stored| Some((stored.key, stored.row?))).collect();
            assert_eq!(held, wanted, "not what was accepted up to {complete}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d77_0003),
        ..Config::default()
    })]

    #[test]
    fn accepted_rows_are_in_force_and_never_revert(sequential 1..60 => Holders);
}

/// Found by the fuzz (seed 0x6d770003): a row that is deleted before a holder
/// lists is not in the delta of that holder to one that still has the row.
#[test]
fn deletion_before_a_list_reaches_a_peer_that_is_behind() {
    let key = RowKey::new(RowKind::Drain, "s1");
    let row = Some(Row::Drain(Drain { reason: "disk".to_owned() }));
    let mut behind = Table::default();
    behind.merge(&Delta { after: 0, upto: 0, rows: Vec::new() });
    behind.apply_event(VersionedRow { key: key.clone(), version: 1, row });
    let mut fresh = Table::default();
    fresh.merge(&Delta { after: 0, upto: 2, rows: Vec::new() });
    behind.merge(&fresh.delta_since(behind.digest()));
    assert_eq!(behind.get(&key), None);
}

/// Found by the fuzz (seed 0x6d770003): a stale list brings a row back that was
/// deleted before this holder listed first, so that it has no tombstone of it.
#[test]
fn stale_list_does_not_bring_a_deleted_row_back() {
    let key = RowKey::new(RowKind::Drain, "s1");
    let row = Some(Row::Drain(Drain { reason: "disk".to_owned() }));
    let mut table = Table::default();
    table.merge(&Delta { after: 0, upto: 3, rows: Vec::new() });
    let stored = VersionedRow { key: key.clone(), version: 2, row };
    table.merge(&Delta { after: 0, upto: 2, rows: vec![stored] });
    assert_eq!(table.get(&key), None);
}
