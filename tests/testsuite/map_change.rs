//! Decisions on the map change of a rank group, one situation per test. `fuzz_map_change` tests
//! whole changes.

use mastweir_core::{
    switch::{
        OrderLoss,
        map_change::{Action, GroupSnapshot, OrderKind, RankState, TargetMap, decide, version},
    },
    time::Uptime,
};

const RANKS: u32 = 4;
const OWN: usize = 1;
const TOKEN: u64 = 3;
/// Versions of this coordinator and of its predecessor.
const OURS: u64 = version(TOKEN, 1);
const THEIRS: u64 = version(TOKEN - 1, 1);

fn rank(number: u32) -> RankState {
    RankState { epoch: 3, rank: number, size: RANKS, open: true, pass: 70, ..RankState::default() }
}

/// Returns the states of a group, with `change` applied to each rank.
fn group(change: impl Fn(&mut RankState)) -> Vec<Option<RankState>> {
    let changed = |number| {
        let mut state = rank(number);
        change(&mut state);
        Some(state)
    };
    (0..RANKS).map(changed).collect()
}

fn next(ranks: &[Option<RankState>], predecessor: Option<usize>, target: bool) -> String {
    let target = target.then(|| TargetMap { version: OURS, map: vec![vec![vec![0]]].into() });
    let group = GroupSnapshot { ranks, own: OWN, token: TOKEN, predecessor, lookahead: 2 };
    let action = match decide(group, target.as_ref()) {
        Action::Orders(orders) => {
            let line = |(rank, order): &(usize, OrderKind)| match order {
                OrderKind::Load { version, .. } => format!("{rank}: load {version}"),
                other => format!("{rank}: {other:?}"),
            };
            orders.iter().map(line).collect::<Vec<String>>().join("\n")
        }
        other => format!("{other:?}"),
    };
    action.replace(&OURS.to_string(), "ours").replace(&THEIRS.to_string(), "theirs")
}

#[test]
fn map_is_loaded_at_ranks_that_lack_it() {
    let mut ranks = group(|_| ());
    ranks[0] = Some(RankState { loaded: Some(OURS), ..rank(0) });
    ranks[2] = Some(RankState { busy: true, ..rank(2) });
    insta::assert_snapshot!(next(&ranks, None, true), @"
    1: load ours
    3: load ours
    ");
}

/// Guards against dropping a change that has paused the group or scheduled a map.
#[test]
fn change_can_be_dropped_until_it_pauses_the_group() {
    let loads = RankState { busy: true, loaded: Some(THEIRS), ..rank(0) };
    assert!(!loads.has_begun(OURS));
    assert!(RankState { paused: Some(72), ..rank(0) }.has_begun(OURS));
    assert!(RankState { scheduled: Some((THEIRS, 72)), ..rank(0) }.has_begun(OURS));
    assert!(RankState { map: OURS, ..rank(0) }.has_begun(OURS));
}

#[test]
fn group_is_paused_at_the_next_rank() {
    let ranks = group(|state| state.loaded = Some(OURS));
    insta::assert_snapshot!(next(&ranks, None, true), @"2: Pause { pass: 72 }");
}

#[test]
fn own_rank_is_scheduled_last() {
    let mut ranks = group(|state| state.loaded = Some(OURS));
    ranks[2] = Some(RankState { loaded: Some(OURS), paused: Some(72), ..rank(2) });
    insta::assert_snapshot!(next(&ranks, None, true), @"
    0: Schedule { version: ours, pass: 72 }
    2: Schedule { version: ours, pass: 72 }
    3: Schedule { version: ours, pass: 72 }
    ");
    for state in ranks.iter_mut().flatten().filter(|state| state.rank as usize != OWN) {
        state.scheduled = Some((OURS, 72));
    }
    insta::assert_snapshot!(next(&ranks, None, true), @"1: Schedule { version: ours, pass: 72 }");
    ranks.iter_mut().flatten().for_each(|state| state.scheduled = Some((OURS, 72)));
    insta::assert_snapshot!(next(&ranks, None, true), @"2: Resume { pass: 72 }");
}

#[test]
fn paused_group_is_not_resumed_without_a_map() {
    let mut ranks = group(|_| ());
    ranks[2] = Some(RankState { paused: Some(72), ..rank(2) });
    insta::assert_snapshot!(next(&ranks, None, false), @"NeedTarget");
}

/// Guards against cancelling a version too early: the order could arrive after all ranks have the
/// version scheduled.
#[test]
fn lost_version_is_cancelled_once_a_rank_has_a_newer_one() {
    let mut ranks = group(|_| ());
    ranks[0] = Some(RankState { scheduled: Some((THEIRS, 72)), paused: Some(72), ..rank(0) });
    insta::assert_snapshot!(next(&ranks, None, false), @"NeedTarget");
    insta::assert_snapshot!(next(&ranks, None, true), @"
    1: load ours
    2: load ours
    3: load ours
    ");
    ranks[2] = Some(RankState { loaded: Some(OURS), ..rank(2) });
    insta::assert_snapshot!(next(&ranks, None, true), @"0: Cancel { version: theirs }");
}

#[test]
fn change_of_a_successor_is_not_continued() {
    let theirs = version(TOKEN + 1, 1);
    let mut ranks = group(|state| state.loaded = Some(theirs));
    ranks[0] = Some(RankState { scheduled: Some((theirs, 72)), paused: Some(72), ..rank(0) });
    insta::assert_snapshot!(next(&ranks, None, true), @"Wait");
}

#[test]
fn partial_schedule_is_repaired_after_a_pause() {
    let mut ranks = group(|state| state.loaded = Some(OURS));
    ranks[3] = Some(RankState { loaded: Some(OURS), scheduled: Some((OURS, 74)), ..rank(3) });
    insta::assert_snapshot!(next(&ranks, None, true), @"3: Pause { pass: 74 }");
}

/// Guards against a group that stays paused when the rank of its former coordinator can't be
/// reached.
#[test]
fn change_is_rolled_back_without_the_rank_of_its_coordinator() {
    let mut ranks = group(|state| state.loaded = Some(THEIRS));
    ranks[0] = None;
    ranks[1] = Some(RankState { loaded: Some(THEIRS), paused: Some(72), ..rank(1) });
    ranks[3] = Some(RankState { scheduled: Some((THEIRS, 72)), ..rank(3) });
    insta::assert_snapshot!(next(&ranks, Some(0), true), @"
    1: load ours
    2: load ours
    ");
    ranks[1] = Some(RankState { loaded: Some(OURS), paused: Some(72), ..rank(1) });
    ranks[2] = Some(RankState { loaded: Some(OURS), ..rank(2) });
    insta::assert_snapshot!(next(&ranks, Some(0), true), @"3: Cancel { version: theirs }");
    ranks[3] = Some(RankState { loaded: Some(THEIRS), ..rank(3) });
    insta::assert_snapshot!(next(&ranks, Some(0), true), @"3: load ours");
    ranks[3] = Some(RankState { loaded: Some(OURS), ..rank(3) });
    insta::assert_snapshot!(next(&ranks, Some(0), true), @"1: Resume { pass: 72 }");
}

/// Guards against a roll back after a pause that does not show what the predecessor's rank has.
#[test]
fn nothing_is_rolled_back_after_a_pause_of_another() {
    let pause_at = |at: usize, loaded: u64| {
        let mut ranks = group(|state| state.loaded = Some(loaded));
        ranks[0] = None;
        ranks[at].as_mut().expect("known").paused = Some(72);
        next(&ranks, Some(0), true)
    };
    insta::assert_snapshot!(pause_at(2, THEIRS), @"Wait");
    insta::assert_snapshot!(pause_at(1, version(TOKEN - 2, 1)), @"Wait");
    insta::assert_snapshot!(pause_at(1, OURS), @"1: Resume { pass: 72 }");
}

#[test]
fn nothing_is_rolled_back_that_the_missing_rank_may_have() {
    let mut ranks = group(|state| state.scheduled = Some((THEIRS, 72)));
    ranks[1] = Some(RankState { scheduled: Some((THEIRS, 72)), paused: Some(72), ..rank(1) });
    ranks[0] = None;
    insta::assert_snapshot!(next(&ranks, Some(0), true), @"Wait");
    // No target map is needed, since it could not be loaded anywhere.
    insta::assert_snapshot!(next(&ranks, Some(0), false), @"Wait");
    // Another rank than the predecessor's is missing.
    let mut ranks = group(|state| state.loaded = Some(THEIRS));
    ranks[1] = Some(RankState { loaded: Some(THEIRS), paused: Some(72), ..rank(1) });
    ranks[2] = None;
    insta::assert_snapshot!(next(&ranks, Some(0), true), @"Wait");
}

#[test]
fn group_of_two_epochs_gets_no_orders() {
    let mut ranks = group(|_| ());
    ranks[2] = Some(RankState { epoch: 4, ..rank(2) });
    insta::assert_snapshot!(next(&ranks, None, true), @"Wait");
    let mut ranks = group(|_| ());
    ranks[2] = Some(RankState { open: false, ..rank(2) });
    insta::assert_snapshot!(next(&ranks, None, true), @"Wait");
}

/// Guards against too few retries in groups with lost orders.
#[test]
fn lost_orders_raise_the_number_of_retries() {
    let rounds = |lost: u32, ranks: usize| {
        let mut loss = OrderLoss::default();
        for number in 0..200_u32 {
            let answered = number * lost / 100 == (number + 1) * lost / 100;
            loss.record(answered, Uptime::from_secs(1));
        }
        loss.retries(ranks)
    };
    let of = |ranks| [0, 10, 35, 90].map(|lost| rounds(lost, ranks));
    assert_eq!(of(8), [0, 1, 2, 6]);
    assert_eq!(of(32), [0, 1, 3, 6]);
    // Losses long ago no longer count.
    let mut loss = OrderLoss::default();
    (0..50).for_each(|_| loss.record(false, Uptime::from_secs(1)));
    (0..50).for_each(|_| loss.record(true, Uptime::from_secs(60)));
    assert_eq!(loss.retries(32), 0);
}

/// Guards against a pause that is too near for the orders, or a pass too far where passes are long.
#[test]
fn lookahead_covers_orders_and_is_one_pass_where_passes_are_long() {
    let sound = OrderLoss::default();
    let of = |pass_ms| sound.lookahead(12, pass_ms);
    // Passes shorter than possible are measured in idle groups.
    assert_eq!([0.0, 20.0, 39.0, 60.0, 150.0].map(of), [3, 3, 3, 2, 2]);
    assert_eq!([170.0, 1_400.0].map(of), [1, 1]);
    let mut lossy = OrderLoss::default();
    (0..40_u32).for_each(|number| lossy.record(number % 3 > 0, Uptime::from_secs(1)));
    assert_eq!([60.0, 170.0, 1_400.0].map(|pass_ms| lossy.lookahead(12, pass_ms)), [4, 2, 1]);
}
