//! Stateful fuzz test of the configuration table. Processes get rows by lists (also stale
//! ones), watches and peers, in any order. Guards against versions that revert, and against
//! rows that are missing from a table that claims to be complete.

use mastweir_core::table::{Delta, Drain, Row, RowKey, RowKind, Table, VersionedRow};
use proptest::{prelude::*, test_runner::Config};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;

const PROCESSES: usize = 3;
const ROWS: usize = 4;

#[derive(Clone, Debug)]
pub enum Step {
    /// An operator writes a row, or deletes it.
    Write(usize, bool),
    /// A process lists the rows as of so many writes ago.
    List(usize, usize),
    /// A process's watch delivers the next change.
    Watch(usize),
    /// A process fetches the changes that it lacks from a peer.
    Fetch(usize, usize),
    /// A process gets the response to its previous fetch, and sends another.
    DelayedFetch(usize, usize),
    /// A process restarts with an empty table.
    Restart(usize),
}

/// The reference model: all writes, in order.
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
        let process = 0..PROCESSES;
        prop_oneof![
            4 => (0..ROWS, prop::bool::weighted(0.3)).prop_map(|(i, deleted)| Step::Write(i, deleted)),
            2 => (process.clone(), 0..6_usize).prop_map(|(i, age)| Step::List(i, age)),
            4 => process.clone().prop_map(Step::Watch),
            4 => (process.clone(), process.clone()).prop_map(|(a, b)| Step::Fetch(a, b)),
            1 => (process.clone(), process.clone()).prop_map(|(a, b)| Step::DelayedFetch(a, b)),
            1 => process.prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut history: Vec<Write>, step: &Step) -> Vec<Write> {
        if let Step::Write(i, deleted) = step {
            let key = RowKey::new(RowKind::Drain, &format!("s{i}"));
            let reason = history.len().to_string();
            let row = (!deleted).then_some(Row::Drain(Drain { reason }));
            history.push((key, row));
        }
        history
    }
}

/// The tables of all processes.
#[derive(Debug)]
pub struct Processes {
    tables: Vec<Table>,
    delayed: Vec<Option<Delta>>,
    seen: Vec<u64>,
}

/// Returns the rows after the first `upto` writes, as a list contains them.
fn rows_after(history: &[Write], upto: usize) -> Vec<VersionedRow> {
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

impl StateMachineTest for Processes {
    type SystemUnderTest = Self;
    type Reference = History;

    fn init_test(_: &Vec<Write>) -> Self {
        Self {
            tables: vec![Table::default(); PROCESSES],
            delayed: vec![None; PROCESSES],
            seen: vec![0; PROCESSES],
        }
    }

    fn apply(mut processes: Self, history: &Vec<Write>, step: Step) -> Self {
        match step {
            Step::Write(..) => (),
            Step::List(i, age) => {
                let upto = history.len().saturating_sub(age);
                let rows = rows_after(history, upto);
                let delta = Delta { after: 0, upto: upto as u64, rows };
                processes.tables[i].merge(&delta);
            }
            Step::Watch(i) => {
                let next = processes.tables[i].complete() as usize;
                if let Some((key, row)) = history.get(next) {
                    let version = next as u64 + 1;
                    let stored = VersionedRow { key: key.clone(), version, row: row.clone() };
                    processes.tables[i].apply_event(stored);
                }
            }
            Step::Fetch(i, from) => {
                let delta = processes.tables[from].delta_since(processes.tables[i].digest());
                processes.delayed[i] = Some(delta.clone());
                processes.tables[i].merge(&delta);
            }
            Step::DelayedFetch(i, from) => {
                let delta = processes.tables[from].delta_since(processes.tables[i].digest());
                if let Some(delayed) = processes.delayed[i].replace(delta) {
                    processes.tables[i].merge(&delayed);
                }
            }
            Step::Restart(i) => {
                processes.tables[i] = Table::default();
                processes.delayed[i] = None;
                processes.seen[i] = 0;
            }
        }
        for (table, seen) in processes.tables.iter().zip(&mut processes.seen) {
            assert!(table.complete() >= *seen, "a table went back to an older version");
            *seen = table.complete();
        }
        processes
    }

    fn check_invariants(processes: &Self, history: &Vec<Write>) {
        for table in &processes.tables {
            let complete = table.complete() as usize;
            let expected = rows_after(history, complete);
            let held: Vec<(RowKey, Row)> =
                table.rows().map(|(key, row)| (key.clone(), row.clone())).collect();
            let expected: Vec<(RowKey, Row)> =
                expected.into_iter().filter_map(|stored| Some((stored.key, stored.row?))).collect();
            assert_eq!(held, expected, "rows differ from those accepted up to version {complete}");
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
    fn accepted_rows_are_present_and_never_revert(sequential 1..60 => Processes);
}

/// Guards against deltas that lack a deletion which the sender never saw.
#[test]
fn deletion_before_a_list_reaches_a_lagging_peer() {
    let key = RowKey::new(RowKind::Drain, "s1");
    let row = Some(Row::Drain(Drain { reason: "disk".to_owned() }));
    let mut lagging = Table::default();
    lagging.merge(&Delta { after: 0, upto: 0, rows: Vec::new() });
    lagging.apply_event(VersionedRow { key: key.clone(), version: 1, row });
    let mut fresh = Table::default();
    fresh.merge(&Delta { after: 0, upto: 2, rows: Vec::new() });
    lagging.merge(&fresh.delta_since(lagging.digest()));
    assert_eq!(lagging.get(&key), None);
}

/// Guards against a stale list that restores a row which was deleted before the first list.
#[test]
fn stale_list_does_not_restore_a_deleted_row() {
    let key = RowKey::new(RowKind::Drain, "s1");
    let row = Some(Row::Drain(Drain { reason: "disk".to_owned() }));
    let mut table = Table::default();
    table.merge(&Delta { after: 0, upto: 3, rows: Vec::new() });
    let stored = VersionedRow { key: key.clone(), version: 2, row };
    table.merge(&Delta { after: 0, upto: 2, rows: vec![stored] });
    assert_eq!(table.get(&key), None);
}
