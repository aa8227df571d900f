//! Drives the cases of the second review that are scripts, from the root of the repository:
//! `review-standins-2 CASE RECORD with`, or `without` to leave out the disruption. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod group;
mod http;
mod store;
mod world;

use std::{env, panic, process};

fn main() {
    panic::set_hook(Box::new(|info| world::cannot_run(&info.to_string())));
    let args: Vec<String> = env::args().collect();
    let [_, case, record, disruption] = &args[..] else {
        world::cannot_run("give the case, the file for its record, and `with` or `without`");
    };
    let trouble = match disruption.as_str() {
        "with" => true,
        "without" => false,
        _ => world::cannot_run("the disruption is `with` or `without`"),
    };
    let record = world::Record::new(record);
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let broken = match case.as_str() {
        "planned_stop" => cases::planned_stop::run(&record, trouble),
        "moved_store" => cases::moved_store::run(&record, trouble),
        "new_bound" => cases::new_bound::run(&record, trouble),
        "gone_server" => cases::gone_server::run(&record, trouble),
        "extra_answer" => cases::extra_answer::run(&record, trouble),
        "extra_bytes" => cases::extra_bytes::run(&record, trouble),
        "header_limit" => cases::header_limit::run(&record, trouble),
        _ => world::cannot_run("there is no such case"),
    };
    record.line(if broken { "the rule was broken" } else { "the rule held" });
    process::exit(i32::from(broken))
}
