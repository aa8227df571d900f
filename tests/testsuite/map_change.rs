//! What a coordinator of a rank group orders next, one situation a test. The fuzz
//! beside (`fuzz_hold`) checks that it adds up.

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
/// Of this coordinator, and of the one before.
const OURS: u64 = version(TOKEN, 1);
const THEIRS: u64 = version(TOKEN - 1, 1);

fn rank(number: u32) -> RankState {
    RankState { epoch: 3, rank: number, size: RANKS, open: true, pass: 70, ..RankState::default() }
}

/// A group whose ranks are changed by `change`.
fn group(change: impl Fn(&mut RankState)) -> Vec<Option<RankState>> {
    let changed = |number| {
        let mut state = rank(number);
        change(&mut state);
        Some(state)
    };
    (0..RANKS).map(changed).collect()
}

fn act(ranks: &[Option<RankState>], predecessor: Option<usize>, wanted: bool) -> String {
    let wanted = wanted.then(|| TargetMap { version: OURS, map: vec![vec![vec![0]]].into() });
    let view = GroupSnapshot { ranks, own: OWN, token: TOKEN, predecessor, lookahead: 2 };
    let told = match decide(view, wanted.as_ref()) {
        Action::Orders(orders) => {
            let told = |(rank, order): &(usize, OrderKind)| match order {
                OrderKind::Load { version, .. } => format!("{rank}: load {version}"),
                other => format!("{rank}: {other:?}"),
            };
            orders.iter().map(told).collect::<Vec<String>>().join("\n")
        }
        other => format!("{other:?}"),
    };
    told.replace(&OURS.to_string(), "ours").replace(&THEIRS.to_string(), "theirs")
}

#[test]
fn a_map_is_loaded_where_it_is_not_yet() {
    let mut ranks = group(|_| ());
    ranks[0] = Some(RankState { loaded: Some(OURS), ..rank(0) });
    ranks[2] = Some(RankState { busy: true, ..rank(2) });
    insta::assert_snapshot!(act(&ranks, None, true), @"
    1: load ours
    3: load ours
    ");
}

/// What is only loaded may be left for another map; a pause or a schedule must end.
#[test]
fn a_change_can_be_left_until_it_pauses_the_group() {
    let loads = RankState { busy: true, loaded: Some(THEIRS), ..rank(0) };
    assert!(!loads.has_begun(OURS));
    assert!(RankState { paused: Some(72), ..rank(0) }.has_begun(OURS));
    assert!(RankState { scheduled: Some((THEIRS, 72)), ..rank(0) }.has_begun(OURS));
    assert!(RankState { map: OURS, ..rank(0) }.has_begun(OURS));
}

#[test]
fn a_pause_is_kept_at_another_rank_than_ones_own() {
    let ranks = group(|state| state.loaded = Some(OURS));
    insta::assert_snapshot!(act(&ranks, None, true), @"2: Pause { pass: 72 }");
}

#[test]
fn the_own_rank_is_scheduled_last() {
    let mut ranks = group(|state| state.loaded = Some(OURS));
    ranks[2] = Some(RankState { loaded: Some(OURS), paused: Some(72), ..rank(2) });
    insta::assert_snapshot!(act(&ranks, None, true), @"
    0: Schedule { version: ours, pass: 72 }
    2: Schedule { version: ours, pass: 72 }
    3: Schedule { version: ours, pass: 72 }
    ");
    for state in ranks.iter_mut().flatten().filter(|state| state.rank as usize != OWN) {
        state.scheduled = Some((OURS, 72));
    }
    insta::assert_snapshot!(act(&ranks, None, true), @"1: Schedule { version: ours, pass: 72 }");
    ranks.iter_mut().flatten().for_each(|state| state.scheduled = Some((OURS, 72)));
    insta::assert_snapshot!(act(&ranks, None, true), @"2: Resume { pass: 72 }");
}

#[test]
fn a_paused_group_is_not_resumed_without_a_map() {
    let mut ranks = group(|_| ());
    ranks[2] = Some(RankState { paused: Some(72), ..rank(2) });
    insta::assert_snapshot!(act(&ranks, None, false), @"NeedTarget");
}

/// Not before: the order may come late, when all have it scheduled after all.
#[test]
fn what_the_others_can_not_have_is_cancelled_once_one_has_gone_on() {
    let mut ranks = group(|_| ());
    ranks[0] = Some(RankState { scheduled: Some((THEIRS, 72)), paused: Some(72), ..rank(0) });
    insta::assert_snapshot!(act(&ranks, None, false), @"NeedTarget");
    insta::assert_snapshot!(act(&ranks, None, true), @"
    1: load ours
    2: load ours
    3: load ours
    ");
    ranks[2] = Some(RankState { loaded: Some(OURS), ..rank(2) });
    insta::assert_snapshot!(act(&ranks, None, true), @"0: Cancel { version: theirs }");
}

#[test]
fn the_change_of_a_successor_is_left_to_it() {
    let theirs = version(TOKEN + 1, 1);
    let mut ranks = group(|state| state.loaded = Some(theirs));
    ranks[0] = Some(RankState { scheduled: Some((theirs, 72)), paused: Some(72), ..rank(0) });
    insta::assert_snapshot!(act(&ranks, None, true), @"Wait");
}

#[test]
fn what_only_some_have_scheduled_is_mended_behind_a_pause() {
    let mut ranks = group(|state| state.loaded = Some(OURS));
    ranks[3] = Some(RankState { loaded: Some(OURS), scheduled: Some((OURS, 74)), ..rank(3) });
    insta::assert_snapshot!(act(&ranks, None, true), @"3: Pause { pass: 74 }");
}

/// The rank of a coordinator that stands still can't be reached: what it began is
/// taken back, and the others refuse it from then on.
#[test]
fn a_change_is_taken_back_without_its_coordinators_rank() {
    let mut ranks = group(|state| state.loaded = Some(THEIRS));
    ranks[0] = None;
    ranks[1] = Some(RankState { loaded: Some(THEIRS), paused: Some(72), ..rank(1) });
    ranks[3] = Some(RankState { scheduled: Some((THEIRS, 72)), ..rank(3) });
    insta::assert_snapshot!(act(&ranks, Some(0), true), @"
    1: load ours
    2: load ours
    ");
    ranks[1] = Some(RankState { loaded: Some(OURS), paused: Some(72), ..rank(1) });
    ranks[2] = Some(RankState { loaded: Some(OURS), ..rank(2) });
    insta::assert_snapshot!(act(&ranks, Some(0), true), @"3: Cancel { version: theirs }");
    ranks[3] = Some(RankState { loaded: Some(THEIRS), ..rank(3) });
    insta::assert_snapshot!(act(&ranks, Some(0), true), @"3: load ours");
    ranks[3] = Some(RankState { loaded: Some(OURS), ..rank(3) });
    insta::assert_snapshot!(act(&ranks, Some(0), true), @"1: Resume { pass: 72 }");
}

/// Only a pause of the predecessor's own change tells what its rank can have.
#[test]
fn nothing_is_taken_back_behind_the_pause_of_another() {
    let pause_at = |at: usize, loaded: u64| {
        let mut ranks = group(|state| state.loaded = Some(loaded));
        ranks[0] = None;
        ranks[at].as_mut().expect("known").paused = Some(72);
        act(&ranks, Some(0), true)
    };
    insta::assert_snapshot!(pause_at(2, THEIRS), @"Wait");
    insta::assert_snapshot!(pause_at(1, version(TOKEN - 2, 1)), @"Wait");
    insta::assert_snapshot!(pause_at(1, OURS), @"1: Resume { pass: 72 }");
}

#[test]
fn nothing_is_taken_back_where_that_rank_may_have_it() {
    let mut ranks = group(|state| state.scheduled = Some((THEIRS, 72)));
    ranks[1] = Some(RankState { scheduled: Some((THEIRS, 72)), paused: Some(72), ..rank(1) });
    ranks[0] = None;
    insta::assert_snapshot!(act(&ranks, Some(0), true), @"Wait");
    // Nor is a map looked for that could not be loaded anywhere.
    insta::assert_snapshot!(act(&ranks, Some(0), false), @"Wait");
    // Nor where another rank than the coordinator's is missing.
    let mut ranks = group(|state| state.loaded = Some(THEIRS));
    ranks[1] = Some(RankState { loaded: Some(THEIRS), paused: Some(72), ..rank(1) });
    ranks[2] = None;
    insta::assert_snapshot!(act(&ranks, Some(0), true), @"Wait");
}

#[test]
fn a_group_of_two_lives_is_left_alone() {
    let mut ranks = group(|_| ());
    ranks[2] = Some(RankState { epoch: 4, ..rank(2) });
    insta::assert_snapshot!(act(&ranks, None, true), @"Wait");
    let mut ranks = group(|_| ());
    ranks[2] = Some(RankState { open: false, ..rank(2) });
    insta::assert_snapshot!(act(&ranks, None, true), @"Wait");
}

/// Orders are given again as often as it takes until at most one rank lacks an answer.
#[test]
fn a_change_is_set_further_ahead_the_more_orders_are_lost() {
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
    // What was lost long ago counts no more.
    let mut loss = OrderLoss::default();
    (0..50).for_each(|_| loss.record(false, Uptime::from_secs(1)));
    (0..50).for_each(|_| loss.record(true, Uptime::from_secs(60)));
    assert_eq!(loss.retries(32), 0);
}

/// One more pass of a group whose passes are far too long costs more than one that
/// stands for the rest of some orders.
#[test]
fn a_pause_is_as_far_ahead_as_orders_take_and_at_the_next_pass_where_passes_are_long() {
    let sound = OrderLoss::default();
    let of = |pass_ms| sound.lookahead(12, pass_ms);
    // An idle group seems to make quicker passes than any.
    assert_eq!([0.0, 20.0, 39.0, 60.0, 150.0].map(of), [3, 3, 3, 2, 2]);
    assert_eq!([170.0, 1_400.0].map(of), [1, 1]);
    let mut lossy = OrderLoss::default();
    (0..40_u32).for_each(|number| lossy.record(number % 3 > 0, Uptime::from_secs(1)));
    assert_eq!([60.0, 170.0, 1_400.0].map(|pass_ms| lossy.lookahead(12, pass_ms)), [4, 2, 1]);
}
