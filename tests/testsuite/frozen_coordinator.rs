//! Guards against a group that is held because its coordinator, or the coordinator's delegate,
//! freezes in the middle of a map change; and against ranks that use two maps once the frozen
//! instance wakes and its old orders arrive.

use crate::map_change_world::{RANKS, Sender, TokenChecks, World};
use mastweir_core::{
    switch::{
        delegation::{Candidate, FinalOrders, choose_delegate, final_orders},
        map_change::{GroupSnapshot, OrderKind, OrderOutcome, RankState},
    },
    time::Uptime,
};
use mastweir_test_support::ordered::OrderedRank;
use proptest::test_runner::TestCaseError;
use std::fmt::Write as _;

/// Ranks of the coordinator, of the pause and of the delegate.
const COORDINATOR: usize = 0;
const PAUSED: usize = 1;
const DELEGATE: usize = 2;
/// Steps after which a group counts as held.
const STEPS_MAX: usize = 12;
/// Steps for which a coordinator goes by the last state of a silent rank.
const RECENT_STEPS: usize = 4;

/// Delivers the next message of a change without failures, and describes it. The coordinator
/// decides when all its messages were answered. `None` once the change is complete.
fn next_message(world: &mut World) -> Option<String> {
    if let Some(call) = world.calls.first() {
        let what = format!("call to delegate {}", call.delegate);
        world.arrive_call(0, false);
        return Some(what);
    }
    if world.in_flight.is_empty() {
        world.ranks.iter_mut().for_each(OrderedRank::finish_load);
        (0..RANKS).for_each(|rank| world.read(0, rank));
        world.decide(0);
        if !world.calls.is_empty() {
            return next_message(world);
        }
    }
    let flight = world.in_flight.first()?;
    let what = match &flight.order.kind {
        OrderKind::Load { .. } => "load",
        OrderKind::Schedule { .. } => "schedule",
        OrderKind::Cancel { .. } => "cancel",
        OrderKind::Pause { .. } => "pause",
        OrderKind::Resume { .. } => "resume",
    };
    let by = if matches!(flight.sender, Some(Sender::Delegate(..))) { " by delegate" } else { "" };
    let what = format!("{what} at rank {}{by}", flight.rank);
    world.deliver(0, true, false);
    Some(what)
}

/// Returns a group of which the first `count` messages of a change have arrived, and the last of
/// these messages. `None` if the change has fewer.
fn after_messages(count: usize, is_delegating: bool) -> Option<(World, String)> {
    let mut world = World::new(TokenChecks::Checked);
    world.is_delegating = is_delegating;
    world.begin_pass().expect("no maps yet");
    world.coordinators[0].choose_target();
    let mut last = "nothing".to_owned();
    for _ in 0..count {
        last = next_message(&mut world)?;
    }
    Some((world, last))
}

/// Lets all messages arrive that are not for a frozen instance or from a frozen delegate.
fn deliver_reachable(world: &mut World) {
    loop {
        let calls = world.calls.len();
        world.arrive_call(0, false);
        let is_reachable = |rank: usize, sender: &Option<Sender>| {
            let is_from_frozen =
                matches!(sender, Some(Sender::Delegate(rank, _)) if world.frozen[*rank]);
            !world.frozen[rank] && !is_from_frozen
        };
        let next =
            world.in_flight.iter().position(|flight| is_reachable(flight.rank, &flight.sender));
        match next {
            Some(at) => world.deliver(at, true, false),
            None if world.calls.len() == calls => return,
            None => (),
        }
    }
}

fn is_paused(world: &World) -> bool {
    world.ranks.iter().any(|rank| rank.state.paused.is_some())
}

/// Takes steps of a coordinator until the group is not paused. Describes how long that took.
fn steps_to_go_on(world: &mut World, number: usize) -> Result<String, TestCaseError> {
    for step in 0..STEPS_MAX {
        deliver_reachable(world);
        let passes = world.pass;
        world.begin_pass()?;
        if !is_paused(world) && world.pass > passes {
            return Ok(format!("{step} steps"));
        }
        for rank in 0..RANKS {
            if !world.frozen[rank] || step >= RECENT_STEPS {
                world.read(number, rank);
            }
        }
        world.decide(number);
        deliver_reachable(world);
        world.ranks.iter_mut().for_each(OrderedRank::finish_load);
    }
    Ok("held".to_owned())
}

/// Wakes all instances. The first coordinator sends the orders that follow from the states it
/// knew, and all old orders arrive, one before each of the next passes.
fn wake_with_old_orders(world: &mut World) -> Result<(), TestCaseError> {
    world.frozen = [false; RANKS];
    world.coordinators[0].suspended = false;
    world.decide(0);
    while !(world.calls.is_empty() && world.in_flight.is_empty()) {
        world.arrive_call(0, false);
        world.deliver(0, true, false);
        world.begin_pass()?;
    }
    world.recover()
}

/// What happens to the messages that are under way when an instance freezes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnderWay {
    Arrive,
    /// They arrive after the instance has woken.
    Late,
}

/// Freezes the coordinator's instance, and another coordinator takes over at the paused rank.
/// Returns in how many steps the group goes on.
fn freeze_coordinator(world: &mut World, under_way: UnderWay) -> Result<String, TestCaseError> {
    world.frozen[COORDINATOR] = true;
    world.succeed(PAUSED, true);
    let is_late = under_way == UnderWay::Late;
    let late = if is_late {
        (std::mem::take(&mut world.in_flight), std::mem::take(&mut world.calls))
    } else {
        Default::default()
    };
    let result = steps_to_go_on(world, 1)?;
    world.in_flight.extend(late.0);
    world.calls.extend(late.1);
    wake_with_old_orders(world)?;
    Ok(result)
}

fn freeze_delegate(world: &mut World) -> Result<String, TestCaseError> {
    world.frozen[DELEGATE] = true;
    let result = steps_to_go_on(world, 0)?;
    wake_with_old_orders(world)?;
    Ok(result)
}

/// Returns a line for each message of a change.
fn results(is_delegating: bool) -> Result<String, TestCaseError> {
    let mut table = String::new();
    for count in 0.. {
        let after = || after_messages(count, is_delegating);
        let Some((mut world, last)) = after() else { break };
        let arrive = freeze_coordinator(&mut world, UnderWay::Arrive)?;
        let mut late = after().expect("as before").0;
        let late = freeze_coordinator(&mut late, UnderWay::Late)?;
        let mut delegate = after().expect("as before").0;
        let delegate = freeze_delegate(&mut delegate)?;
        let _ = writeln!(table, "{last:<32}{arrive:<10}{late:<10}{delegate}");
    }
    Ok(table)
}

/// States for each message of a change in how many steps of a coordinator the group goes on if an
/// instance freezes right after it: the coordinator's, where the messages under way arrive or are
/// late, or the one of rank 2, the delegate.
#[test]
fn group_goes_on_after_a_freeze() {
    let direct = results(false).expect("one map in each pass");
    insta::assert_snapshot!("freezes_without_a_delegate", direct);
    let delegated = results(true).expect("one map in each pass");
    insta::assert_snapshot!("freezes_with_a_delegate", delegated);
}

/// Guards against a group resumed by a delegate that does not know whether the coordinator's rank
/// has the map: its server has taken the order, and froze before it answered.
#[test]
fn group_is_held_until_the_coordinators_rank_is_known_to_have_the_map() {
    let mut count = 0;
    let mut world = loop {
        let (world, last) = after_messages(count, true).expect("the change has a call");
        if last == "call to delegate 2" {
            break world;
        }
        count += 1;
    };
    world.frozen[COORDINATOR] = true;
    world.succeed(PAUSED, true);
    world.deliver(0, true, false);
    assert!(world.ranks[COORDINATOR].state.scheduled.is_some());
    assert_eq!(steps_to_go_on(&mut world, 1).expect("one map in each pass"), "held");
    wake_with_old_orders(&mut world).expect("one map in each pass");
}

/// A group of four ranks in which all but the coordinator's rank 0 have version 9 scheduled, and
/// rank 1 holds the pause.
fn states() -> Vec<Option<RankState>> {
    let state = |rank| RankState {
        epoch: 3,
        rank,
        size: 4,
        open: true,
        pass: 70,
        order_seq: u64::from(rank) + 10,
        loaded: Some(9),
        scheduled: (rank > 0).then_some((9, 72)),
        paused: (rank == 1).then_some(72),
        ..RankState::default()
    };
    (0..4).map(|rank| Some(state(rank))).collect()
}

fn delegated(ranks: &[Option<RankState>], orders: &[(usize, OrderKind)]) -> Option<FinalOrders> {
    let group = GroupSnapshot { ranks, own: 0, token: 5, predecessor: None, lookahead: 2 };
    final_orders(group, orders)
}

const SCHEDULE: OrderKind = OrderKind::Schedule { version: 9, pass: 72 };

/// Guards against orders of a delegate that are not the last ones of a change.
#[test]
fn only_the_last_orders_are_delegated() {
    let orders = delegated(&states(), &[(0, SCHEDULE)]).expect("the last orders");
    assert_eq!((orders.token, orders.epoch, orders.version, orders.pass), (5, 3, 9, 72));
    assert_eq!((orders.own, orders.own_seq, orders.paused, orders.paused_seq), (0, 10, 1, 11));
    assert_eq!(orders.schedule().kind, SCHEDULE);
    assert_eq!(orders.resume().kind, OrderKind::Resume { pass: 72 });
    let changed = |at: usize, change: &dyn Fn(&mut RankState)| {
        let mut states = states();
        change(states[at].as_mut().expect("known"));
        delegated(&states, &[(0, SCHEDULE)])
    };
    assert_eq!(changed(2, &|state| state.scheduled = None), None, "another rank lacks the map");
    assert_eq!(changed(2, &|state| state.scheduled = Some((9, 73))), None, "for another pass");
    assert_eq!(changed(2, &|state| state.scheduled = Some((8, 72))), None, "another version");
    assert_eq!(changed(2, &|state| state.paused = Some(72)), None, "two ranks hold the pause");
    assert_eq!(changed(1, &|state| state.paused = None), None, "no rank holds the pause");
    assert_eq!(changed(1, &|state| state.paused = Some(73)), None, "paused before another pass");
    let own_pause = |states: &mut Vec<Option<RankState>>| {
        states[1].as_mut().expect("known").paused = None;
        states[0].as_mut().expect("known").paused = Some(72);
    };
    let mut paused_here = states();
    own_pause(&mut paused_here);
    assert_eq!(delegated(&paused_here, &[(0, SCHEDULE)]), None, "the own rank holds the pause");
    let mut unknown = states();
    unknown[3] = None;
    assert_eq!(delegated(&unknown, &[(0, SCHEDULE)]), None, "a rank is unknown");
    assert_eq!(delegated(&states(), &[(3, SCHEDULE)]), None, "an order for another rank");
    assert_eq!(delegated(&states(), &[(0, OrderKind::Cancel { version: 9 })]), None);
    assert_eq!(delegated(&states(), &[(0, SCHEDULE), (3, SCHEDULE)]), None);
}

/// Guards against two maps in a pass: the group is resumed only when the coordinator's rank has
/// exactly this version scheduled for exactly this pass.
#[test]
fn group_is_resumed_only_after_the_schedule_was_accepted() {
    let orders = delegated(&states(), &[(0, SCHEDULE)]).expect("the last orders");
    let with = |scheduled| {
        let state = RankState { scheduled, ..states().remove(0).expect("known") };
        Some(state)
    };
    let (same, none) = (with(Some((9, 72))), with(None));
    let epoch = same.clone().map(|state| RankState { epoch: 4, ..state });
    let rank = same.clone().map(|state| RankState { rank: 2, ..state });
    let others = [none, with(Some((9, 73))), with(Some((8, 72))), epoch, rank];
    let accepted = Some(OrderOutcome::Accepted);
    let refused = [None, Some(OrderOutcome::Conflict)];
    assert!(orders.may_resume(accepted, None));
    // A report to another instance may be older than the order.
    assert!(orders.may_resume(accepted, others[0].as_ref()));
    for outcome in refused {
        assert!(!orders.may_resume(outcome, None), "{outcome:?}");
        assert!(orders.may_resume(outcome, same.as_ref()), "{outcome:?}");
    }
    for other in &others {
        let resumes = |outcome: &Option<OrderOutcome>| orders.may_resume(*outcome, other.as_ref());
        assert!(!refused.iter().any(resumes), "{other:?}");
    }
    assert!(!orders.may_resume(Some(OrderOutcome::Fenced), same.as_ref()));
}

/// Guards against a delegate that is silent, far away, or a rank whose freeze would hold the group.
#[test]
fn delegate_was_heard_from_last_and_is_near() {
    let orders = delegated(&states(), &[(0, SCHEDULE)]).expect("the last orders");
    let chosen = |candidates: &[(u32, u64, bool)]| {
        let candidate =
            |&(rank, ms, is_near)| Candidate { rank, known_at: Uptime::from_millis(ms), is_near };
        let candidates: Vec<Candidate> = candidates.iter().map(candidate).collect();
        choose_delegate(&orders, &candidates).map(|chosen| chosen.rank)
    };
    assert_eq!(chosen(&[(0, 900, true), (1, 900, true)]), None, "own and paused rank");
    assert_eq!(chosen(&[(0, 900, true), (2, 500, false), (3, 400, false)]), Some(2));
    assert_eq!(chosen(&[(2, 500, false), (3, 470, true)]), Some(3), "near at almost the same age");
    assert_eq!(chosen(&[(2, 500, false), (3, 440, true)]), Some(2), "near but heard from earlier");
    assert_eq!(chosen(&[(2, 500, true), (3, 470, true)]), Some(2));
}
