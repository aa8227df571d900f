//! Real gateways and sidecars as processes, under a few faults each: the soak, short.

use eyre::Result;
use googletest::prelude::*;
use mastweir_soak::{
    Report, SoakOptions,
    ledger::{Kind, Outcome},
    plan::{Entry, Fault},
    run,
    world::SIZES,
};
use std::{path::Path, time::Duration};

async fn soak(seed: u64, plan: Option<&[Entry]>) -> Result<Report> {
    let folder = std::env::temp_dir().join(format!("mastweir-soak-{}", std::process::id()));
    let options = SoakOptions {
        program: Path::new(env!("CARGO_BIN_EXE_mastweird")),
        folder: &folder,
        seed,
        lasts: Duration::from_secs(5),
        plan,
    };
    let report = run(&options).await?;
    eprintln!("{report}");
    Ok(report)
}

fn at(ms: u64, fault: Fault) -> Entry {
    let lasts = Duration::from_millis(1_500);
    Entry { at: Duration::from_millis(ms), lasts, fault }
}

fn count(report: &Report, kind: Kind, outcome: Outcome) -> usize {
    let of = report.counts.iter().find(|(what, _)| *what == (kind, outcome));
    of.map_or(0, |(_, count)| *count)
}

/// A gateway that leaves goes on hearing from sidecars: once it heard no more, it took
/// all servers for lost and cut streams that were under way.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_stream() -> Result<()> {
    let plan = [at(1_500, Fault::StopGateway(0)), at(2_500, Fault::StopGateway(1))];
    let report = soak(101, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    expect_that!(count(&report, Kind::Stream, Outcome::Cut), eq(0));
    Ok(())
}

/// Of the planned work, nothing touches a server: each goes on with its answers.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn planned_restarts_of_sidecars_cut_no_answer() -> Result<()> {
    let all = |ms| (0..SIZES.models).map(move |sidecar| at(ms, Fault::StopSidecar(sidecar)));
    let configured = [1_000, 2_500, 4_000].map(|ms| at(ms, Fault::Configure));
    let plan: Vec<Entry> = all(1_500).chain(all(3_500)).chain(configured).collect();
    let report = soak(111, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    expect_that!(count(&report, Kind::Stream, Outcome::Served), gt(0));
    Ok(())
}

/// A model's server and one of the plain service each time, for longer than gateways wait for
/// news, beside the planned stop of a gateway and restarts of sidecars.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_fall_silent_and_go_on_are_waited_for() -> Result<()> {
    let silent = [(1_000, 0), (1_000, 6), (2_800, 3), (2_800, 4), (2_800, 7), (4_600, 0)]
        .map(|(ms, server)| at(ms, Fault::ServerSilent(server)));
    let planned = [
        at(1_800, Fault::StopGateway(1)),
        at(3_000, Fault::StopSidecar(3)),
        at(3_000, Fault::StopSidecar(5)),
        at(4_500, Fault::Configure),
    ];
    let plan = [silent.as_slice(), &planned].concat();
    let report = soak(112, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    for kind in [Kind::Stream, Kind::Once, Kind::Safe] {
        expect_that!(count(&report, kind, Outcome::Served), gt(0), "{kind:?}");
    }
    Ok(())
}

/// The coordinator of a group stands still, wherever it sits.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_group_goes_on_when_an_instance_stands_still() -> Result<()> {
    let plan =
        [0, 1, 2].map(|number| at(500 + 1_800 * number, Fault::FreezeInstance(number as usize)));
    let report = soak(102, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    expect_that!(report.changes, gt(0));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn what_is_promised_holds_when_all_are_killed_in_an_outage() -> Result<()> {
    let plan = [
        at(500, Fault::StoreLoses),
        at(1_000, Fault::LateOrders(0)),
        at(1_500, Fault::KillAll),
        at(3_000, Fault::Configure),
    ];
    let report = soak(103, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    Ok(())
}

/// All gateways ask the store anew behind a configuration, and are never answered; one of
/// them is cut off from it besides.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn what_is_promised_holds_behind_a_silence_of_the_store() -> Result<()> {
    let plan = [
        at(900, Fault::Configure),
        at(1_000, Fault::StoreSilent),
        at(1_200, Fault::CutFromStore(0)),
        at(2_700, Fault::Configure),
        at(3_000, Fault::StoreSilent),
    ];
    let report = soak(105, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    Ok(())
}

/// Twice in a row, beside a coordinator that is killed, servers that leave, a configuration
/// that the copies lack, and a gateway that the store turns away.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn what_is_promised_holds_when_the_store_comes_back_from_copies() -> Result<()> {
    let plan = [
        at(200, Fault::StoreCopied),
        at(600, Fault::Replace(1)),
        at(900, Fault::Configure),
        at(1_000, Fault::CutFromStore(0)),
        at(1_200, Fault::StoreReturns),
        at(1_500, Fault::KillSidecar(0)),
        at(1_600, Fault::KillSidecar(3)),
        at(2_900, Fault::StoreCopied),
        at(3_000, Fault::FreezeInstance(4)),
        at(3_100, Fault::StoreLoses),
        at(3_400, Fault::StoreReturns),
        at(3_600, Fault::KillGateway(1)),
    ];
    let report = soak(106, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    Ok(())
}

/// Both of the plain service at once, then models' servers, one of which leaves besides,
/// while a gateway is cut off from the store.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_want_no_requests_get_none() -> Result<()> {
    let plan = [
        at(400, Fault::BackOff(6)),
        at(400, Fault::BackOff(7)),
        at(2_000, Fault::CutFromStore(0)),
        at(2_000, Fault::BackOff(0)),
        at(2_100, Fault::BackOff(1)),
        at(2_300, Fault::Replace(1)),
        at(3_000, Fault::Replace(4)),
    ];
    let report = soak(107, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    expect_that!(count(&report, Kind::Safe, Outcome::Refused), gt(0));
    Ok(())
}

/// Both of the plain service and two models' servers name limits, while gateways stand still,
/// are killed, are cut off from the store, and end as planned.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_name_limits_get_no_more() -> Result<()> {
    let limit = |server, in_10_s| Entry {
        at: Duration::from_millis(200),
        lasts: Duration::from_secs(14),
        fault: Fault::Limit(server, in_10_s),
    };
    let plan = [
        limit(0, 10),
        limit(1, 4),
        limit(6, 20),
        limit(7, 60),
        at(4_000, Fault::FreezeGateway(0)),
        at(6_000, Fault::KillGateway(1)),
        at(8_000, Fault::CutFromStore(2)),
        at(8_500, Fault::StopGateway(0)),
    ];
    let report = soak(108, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    // The plain service's servers take eight requests a second for the eleven seconds in which
    // their limits are lent. So few gateways lend a third of it at least, and a server whose
    // lender changes is lent for nothing for 3.9 s: that may be half of the time.
    let served = [Kind::Safe, Kind::Once].map(|kind| count(&report, kind, Outcome::Served));
    expect_that!(served.iter().sum::<usize>(), ge(15));
    Ok(())
}

/// Some streams share a part of their prompts under which each server ends. One gateway is killed
/// meanwhile, and one can't reach the store.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_do_not_end_one_after_the_other_under_harmful_prompts() -> Result<()> {
    let prompts = Entry {
        at: Duration::from_millis(2_500),
        lasts: Duration::from_secs(18),
        fault: Fault::HarmfulPrompts,
    };
    let plan = [prompts, at(9_000, Fault::KillGateway(1)), at(12_000, Fault::CutFromStore(2))];
    let report = soak(109, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    expect_that!(report.prompt_ends, all!(ge(1), le(5)));
    // Sound streams with the same first part are served, but for those that servers broke off.
    let of = |outcome| count(&report, Kind::Stream, outcome);
    let all: usize = [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Cut]
        .into_iter()
        .map(of)
        .sum();
    expect_that!(of(Outcome::Served) * 2, ge(all));
    Ok(())
}

/// A gateway that gets most new connections serves what it reads.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_with_most_new_connections_serves_them() -> Result<()> {
    let plan = [Entry {
        at: Duration::from_millis(1_000),
        lasts: Duration::from_secs(8),
        fault: Fault::Concentrate(1),
    }];
    let report = soak(110, Some(&plan)).await?;
    expect_that!(report.broken, is_empty());
    for kind in [Kind::Stream, Kind::Once, Kind::Safe] {
        let of = |outcome| count(&report, kind, outcome);
        let read = [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Cut].map(of);
        expect_that!(of(Outcome::Served) * 4, ge(read.iter().sum::<usize>() * 3), "{kind:?}");
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_drawn_plan_breaks_no_promise() -> Result<()> {
    expect_that!(soak(104, None).await?.broken, is_empty());
    Ok(())
}
