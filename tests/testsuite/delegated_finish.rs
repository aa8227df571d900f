//! Guards against a group that stays paused, or is resumed too early, because the delegate of its
//! coordinator fails at the end of a map change.

use crate::sidecar_group::{Behavior, COORDINATOR, Event, Lines, PAUSED, change};
use eyre::Result;
use googletest::prelude::*;
use mastweir::sidecar::rank_views::{QueriedRank, QueryError, QueryResult, RankViews};
use mastweir_core::{switch::map_change::RankState, time::Uptime};
use mastweir_test_support::site::wait_for;
use std::{net::SocketAddr, time::Duration};
use tokio::task::LocalSet;

/// Longest delay by a delegate that does not answer, with some room for a busy machine: the call
/// may take 120 ms, and the coordinator's next step 15 ms.
const DELAY_MAX: Duration = Duration::from_millis(300);

/// The delegate gives the last two orders.
#[googletest::test]
#[tokio::test]
async fn delegate_finishes_a_change() -> Result<()> {
    LocalSet::new()
        .run_until(async {
            let group = change(Behavior::Forwards, 0).await?;
            expect_that!(
                group.accepted(COORDINATOR, "arm") < group.accepted(PAUSED, "go"),
                eq(true)
            );
            let [coordinator, delegate] = &group.logs;
            wait_for(async || coordinator.count("delegate answered") > 0).await?;
            let finished = "finished map change as delegate";
            expect_that!(delegate.count(finished), ge(1));
            expect_that!(coordinator.count("no reply from delegate"), eq(0));
            Ok(())
        })
        .await
}

/// Guards against a group that waits for a delegate that does not answer.
#[googletest::test]
#[tokio::test]
async fn silent_delegate_delays_a_change_briefly() -> Result<()> {
    LocalSet::new()
        .run_until(async {
            let group = change(Behavior::Silent, 0).await?;
            expect_that!(group.delay(), some(le(DELAY_MAX)));
            eprintln!("delay by a silent delegate: {:?}", group.delay());
            expect_that!(group.logs[0].count("no reply from delegate"), ge(1));
            Ok(())
        })
        .await
}

/// Guards against a group that stays paused while releases are mixed.
#[googletest::test]
#[tokio::test]
async fn change_is_finished_without_a_delegate_of_an_older_release() -> Result<()> {
    LocalSet::new()
        .run_until(async {
            let group = change(Behavior::Older, 0).await?;
            expect_that!(group.delay(), some(le(DELAY_MAX)));
            eprintln!("delay by an older delegate: {:?}", group.delay());
            expect_that!(group.logs[0].count("no reply from delegate"), ge(1));
            expect_that!(group.logs[1].count("finished map change as delegate"), eq(0));
            Ok(())
        })
        .await
}

/// Guards against a group resumed although the coordinator's server refused the map.
#[googletest::test]
#[tokio::test]
async fn nothing_is_resumed_while_the_coordinators_server_refuses() -> Result<()> {
    LocalSet::new()
        .run_until(async {
            let group = change(Behavior::Forwards, 3).await?;
            let arm = group.accepted(COORDINATOR, "arm");
            let go = group.first(|event| matches!(event, Event::Order { op, .. } if op == "go"));
            expect_that!(arm.is_some() && arm < go, eq(true), "{arm:?} {go:?}");
            let refused = "finished map change as delegate, resume=None";
            expect_that!(group.logs[1].count(refused), ge(1), "{:?}", group.logs[1]);
            Ok(())
        })
        .await
}

/// Guards against failures of direct queries that nobody can explain, and against a log line for
/// each of them.
#[googletest::test]
fn failure_of_a_direct_query_is_logged_once() {
    let lines = Lines::default();
    let log = lines.logger();
    let mut ranks = RankViews::new(Uptime::default());
    let server = SocketAddr::from(([10, 0, 0, 1], 80));
    let mut record = |answer| {
        ranks.record_result(&log, QueryResult { server, at: Uptime::from_secs(1), answer });
    };
    let answered = || {
        let state = RankState { size: 2, ..RankState::default() };
        Ok(QueriedRank { state, slowdown_milli: 1_000, incarnation: 0 })
    };
    record(answered());
    expect_that!(lines.count("silent rank's server"), eq(0));
    (0..3).for_each(|_| record(Err(QueryError::OtherGroup)));
    expect_that!(lines.count("silent rank's server"), eq(1));
    expect_that!(lines.count("the server is not in the group"), eq(1));
    (0..3).for_each(|_| record(answered()));
    expect_that!(lines.count("regained"), eq(1));
    record(Err(QueryError::NoRank));
    expect_that!(lines.count("the server states no valid rank"), eq(1));
}
