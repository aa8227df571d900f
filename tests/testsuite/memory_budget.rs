//! The byte budget of a gateway for bodies: its decisions, and its check against the instance.

use eyre::Result;
use mastweir::platform::settings::{buffer_bytes, parse};
use mastweir_core::{
    gateway::{BodyKind, Growth, MemoryBudget, TransferId},
    time::Uptime,
};
use std::time::Duration;

/// Name, transfers, and the bytes by which the last of them grows. Of each transfer the bytes held,
/// the seconds since its last progress, and whether a peer has to act.
type Case<'a> = (&'a str, &'a [(u64, u64, bool)], u64);

/// Guards against a change of who is ended: each line is one decision with a budget of 100 bytes.
#[test]
fn transfers_with_least_progress_make_room() {
    let answers: [Case<'_>; 12] = [
        ("fits", &[(40, 9, true), (20, 0, true)], 40),
        ("longest without progress is ended", &[(40, 2, true), (40, 3, true), (20, 0, true)], 10),
        ("as many as needed", &[(30, 3, true), (30, 2, true), (30, 1, true), (10, 0, true)], 50),
        ("kept bodies are not ended", &[(60, 9, false), (20, 1, true), (20, 0, true)], 10),
        ("kept bodies leave no room", &[(80, 9, false), (10, 0, true)], 20),
        ("others are not ended in vain", &[(60, 9, false), (20, 1, true), (20, 0, true)], 30),
        ("alone over the budget", &[(50, 9, true), (50, 0, true)], 51),
        ("alone and larger", &[(0, 0, true)], 101),
        ("least progress is the grower's", &[(50, 1, true), (50, 5, true)], 10),
        ("among equals the largest", &[(20, 2, true), (50, 2, true), (30, 2, true)], 40),
        ("empty transfers are spared", &[(0, 9, true), (80, 1, true), (20, 0, true)], 1),
        ("nothing to take", &[(100, 9, true), (0, 0, true)], 0),
    ];
    let requests: [Case<'_>; 4] = [
        ("fits beside the part of answers", &[(40, 9, false), (20, 0, true)], 15),
        ("leaves the part of answers", &[(50, 9, false), (20, 0, true)], 6),
        ("ends an answer for a request", &[(50, 9, true), (20, 0, true)], 6),
        ("alone over the part of requests", &[(0, 0, true)], 76),
    ];
    let mut lines = Vec::new();
    let answers = answers.map(|case| (BodyKind::Answer, case));
    let requests = requests.map(|case| (BodyKind::Request, case));
    for (kind, (name, transfers, bytes)) in answers.into_iter().chain(requests) {
        let now = Uptime::from_secs(100);
        let mut budget = MemoryBudget::new(100);
        let mut last = TransferId(0);
        for (held, idle, is_moving) in transfers {
            let then = now - Duration::from_secs(*idle);
            last = budget.open(then);
            budget.begin_move(last, then);
            budget.grow(last, BodyKind::Answer, *held, then);
            if !is_moving {
                budget.end_move(last);
            }
        }
        let growth = match budget.grow(last, kind, bytes, now) {
            Growth::Granted => "granted".to_owned(),
            Growth::Wait(ended) => {
                let ended = ended.iter().map(|ended| (ended.id.0, ended.bytes, ended.stalled));
                format!("waits for {:?}", Vec::from_iter(ended))
            }
            Growth::Ended(own) => format!("ends itself {:?}", (own.id.0, own.bytes, own.stalled)),
        };
        lines.push(format!("{name}: {growth}, held {}", budget.held()));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against bytes that are granted before ended transfers have released theirs, and against
/// ending more transfers while those are on their way.
#[test]
fn growth_waits_for_what_is_being_released() {
    let now = Uptime::from_secs(1);
    let mut budget = MemoryBudget::new(100);
    let ids = [0; 3].map(|_| budget.open(now));
    ids.into_iter().for_each(|id| budget.begin_move(id, now));
    let grow = |budget: &mut MemoryBudget, at: usize, bytes, now| {
        budget.grow(ids[at], BodyKind::Answer, bytes, now)
    };
    grow(&mut budget, 0, 60, now);
    grow(&mut budget, 1, 30, now);
    budget.record_progress(ids[1], Uptime::from_secs(2));
    let later = Uptime::from_secs(3);
    let ended = match grow(&mut budget, 2, 50, later) {
        Growth::Wait(ended) => ended.iter().map(|ended| ended.id).collect(),
        _ => Vec::new(),
    };
    assert_eq!(ended, [ids[0]]);
    assert_eq!(grow(&mut budget, 2, 50, later), Growth::Wait(Vec::new()));
    assert!(matches!(grow(&mut budget, 0, 1, later), Growth::Ended(own) if own.id == ids[0]));
    budget.shrink(ids[0], 60);
    assert_eq!(grow(&mut budget, 2, 50, later), Growth::Granted);
    assert_eq!(budget.held(), 80);
    ids.into_iter().for_each(|id| budget.close(id));
    assert_eq!(budget.held(), 0);
}

/// Guards against the end of a small transfer that waits for room, because others were served
/// meanwhile and so have made progress later.
#[test]
fn transfer_that_waits_for_room_is_not_stalled() {
    let (now, later) = (Uptime::from_secs(1), Uptime::from_secs(2));
    let mut budget = MemoryBudget::new(100);
    let ids = [0; 3].map(|_| budget.open(now));
    ids.into_iter().for_each(|id| budget.begin_move(id, now));
    budget.grow(ids[0], BodyKind::Answer, 1, now);
    budget.grow(ids[1], BodyKind::Answer, 90, now);
    budget.set_waiting(ids[0], true);
    budget.record_progress(ids[1], later);
    budget.record_progress(ids[2], later);
    let ended = match budget.grow(ids[2], BodyKind::Answer, 10, later) {
        Growth::Wait(ended) => ended.iter().map(|ended| ended.id).collect(),
        _ => Vec::new(),
    };
    assert_eq!(ended, [ids[1]]);
}

/// Guards against the end of a small transfer for a pause of milliseconds, which frees nothing.
#[test]
fn short_pauses_are_not_compared() {
    let now = Uptime::from_millis(1_000);
    let mut budget = MemoryBudget::new(100);
    let ids = [800, 900, 1_000].map(|ms| budget.open(Uptime::from_millis(ms)));
    ids.into_iter().for_each(|id| budget.begin_move(id, Uptime::default()));
    budget.grow(ids[0], BodyKind::Answer, 1, now);
    budget.grow(ids[1], BodyKind::Answer, 90, now);
    let ended = match budget.grow(ids[2], BodyKind::Answer, 10, now) {
        Growth::Wait(ended) => ended.iter().map(|ended| ended.id).collect(),
        _ => Vec::new(),
    };
    assert_eq!(ended, [ids[1]]);
}

/// Guards against a budget that does not fit the instance: the process would be killed instead of
/// refusing to start.
#[test]
fn budget_is_checked_against_the_memory_of_the_instance() -> Result<()> {
    let file = r#"
node = "north-1"
zone = "north"
ip = "10.0.0.4"
internal_ports = [7400, 7410]
[bounds]
drain_ms = 2000
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 92
[platform]
address = "10.0.0.9:7000"
"#;
    let mut lines = Vec::new();
    for memory in ["", "memory_mb = 512", "memory_mb = 112.5", "memory_mb = -1", "memory_mb = 2"] {
        let settings = parse(&format!("{file}[limits]\n{memory}\n"))?;
        for flag in [None, Some(0), Some(1), Some(56), Some(57), Some(256), Some(u64::MAX)] {
            let budget = buffer_bytes(&settings, flag);
            let text = budget
                .map_or_else(|error| error.to_string(), |bytes| format!("{} MB", bytes >> 20));
            lines.push(format!("{memory} {flag:?}: {text}"));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
    Ok(())
}
