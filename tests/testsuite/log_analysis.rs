//! Guards the log analysis of `mastweir explain` and `mastweir report`: traces of requests, their
//! causes, and the counts of a report.

use eyre::Result;
use googletest::prelude::*;
use mastweir::ops::logs::{
    PlotOptions, Report, ReportOptions, RequestTrace, TraceOptions, plot, report, trace,
};
use std::{env, fs, path::PathBuf, process};

/// Lines of two gateways and a sidecar, out of order: with and without a time before them, one
/// truncated, one of another program.
const LINES: &str = r#"  11.2000 gw-b {"msg":"no server found","level":"INFO","ts":"2026-10-03T06:53:52.2Z","instance":"gw-b","directory":9,"left_ms":5300,"returned":true,"tried":"","reason":"standing","service":"s","id":"r-2"}
  11.2010 gw-b {"msg":"request","level":"INFO","ts":"2026-10-03T06:53:52.201Z","instance":"gw-b","config":4,"server":null,"sends":0,"waited_ms":null,"late":"no","took_ms":80,"status":503,"outcome":"ended","route":"draft","id":"r-2"}
  10.1000 gw-a {"msg":"request","level":"INFO","ts":"2026-10-03T06:53:51.1Z","instance":"gw-a","config":4,"server":"i-1","sends":1,"waited_ms":0,"late":"no","took_ms":155,"status":200,"outcome":"streaming","route":"draft","id":"r-1"}
  12.0000 gw-a {"msg":"stream timing","level":"INFO","ts":"2026-10-03T06:53:53Z","instance":"gw-a","waiting":7,"running":10,"pass_ms":475,"pass":91,"group":"g0","server":"i-1","pause_at_ms":900,"pause_ms":477,"first_ms":155,"waited_ms":0,"end":"complete","route":"draft","late":"pause","id":"r-1"}
  12.0000 gw-a {"msg":"stream complete","level":"INFO","ts":"2026-10-03T06:53:53Z","instance":"gw-a","resumed":0,"took_ms":2055,"id":"r-1"}
{"msg":"server not reached","level":"INFO","ts":"2026-10-03T06:53:51.3Z","instance":"gw-a","error":"no connection","server":"i-2","id":"r-3"}
{"msg":"request","level":"INFO","ts":"2026-10-03T06:53:51.4Z","instance":"gw-a","config":4,"server":"i-2","sends":1,"waited_ms":0,"late":"yes","took_ms":900,"status":502,"outcome":"ended","route":"fetch","id":"r-3"}
  12.3000 gw-a {"msg":"request","level":"INFO","ts":"2026-10-03T06:53:53.3Z","instance":"gw-a","took_ms":9,"late":"no","status":200,"outcome":"answered","route":"fetch","id":"r-4"}
  12.4000 side-1 {"msg":"map in force","level":"INFO","ts":"2026-10-03T06:53:53.4Z","instance":"side-1","group":"g0","version":3,"took_ms":220}
  12.5000 side-1 {"msg":"order not answered","level":"WARN","ts":"2026-10-03T06:53:53.5Z","instance":"side-1","tok
  12.6000 side-1 {"msg":"became coordinator","level":"INFO","ts":"2026-10-03T06:53:53.6Z","instance":"side-1","group":"g0","token":2}
something that is not ours
  13.0000 gw-b {"msg":"stream timing","level":"INFO","ts":"2026-10-03T06:53:54Z","instance":"gw-b","end":"cut","route":"draft","late":"no","id":"r-5"}
  13.1000 gw-a {"msg":"stream interrupted","level":"INFO","ts":"2026-10-03T06:53:54.1Z","instance":"gw-a","last_event":null,"fingerprint":"00c0ffee00c0ffee","reason":"broken","server":"i-3","id":"r-6"}
  13.2000 gw-b {"msg":"attempt broken","level":"INFO","ts":"2026-10-03T06:53:54.2Z","instance":"gw-b","error":"no whole answer","fingerprint":"00c0ffee00c0ffee","server":"i-4","id":"r-7"}
  13.0000 gw-b {"msg":"stream cut","level":"INFO","ts":"2026-10-03T06:53:54Z","instance":"gw-b","reason":"late","last_event":"11","tried":"i-1","took_ms":8000,"id":"r-5"}
"#;

/// A log file with [`LINES`], removed on drop.
struct LogFile(PathBuf);

impl LogFile {
    fn write(name: &str) -> Result<Self> {
        let path = env::temp_dir().join(format!("mastweir-logs-{}-{name}", process::id()));
        fs::write(&path, LINES)?;
        Ok(Self(path))
    }

    fn trace(&self, id: &str) -> Result<RequestTrace> {
        trace(TraceOptions { id, files: std::slice::from_ref(&self.0) })
    }

    fn report(&self) -> Result<Report> {
        report(ReportOptions { files: std::slice::from_ref(&self.0), progress: None })
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        // The folder is temporary: a file that can't be removed does no harm.
        let _ = fs::remove_file(&self.0);
    }
}

#[googletest::test]
fn request_is_traced_in_order_with_its_cause() -> Result<()> {
    let logs = LogFile::write("trace")?;
    let mut text = String::new();
    for id in ["r-1", "r-2", "r-3", "r-4", "r-5", "00c0ffee00c0ffee"] {
        let trace = logs.trace(id)?;
        for step in &trace.steps {
            text += &format!("{id} {:.3} {} {}\n", step.at_s, step.instance, step.what);
        }
        text += &format!("{id}: {}\n", trace.cause);
    }
    insta::assert_snapshot!(text);
    Ok(())
}

#[googletest::test]
fn unknown_request_is_reported_with_a_remedy() -> Result<()> {
    let logs = LogFile::write("unknown")?;
    let error = logs.trace("r-99").err().map(|error| error.to_string());
    expect_that!(error, some(contains_substring("no line of 16 names request r-99")));
    let missing = PathBuf::from("no-such-file");
    let error = trace(TraceOptions { id: "r-1", files: &[missing] }).err();
    expect_that!(error.map(|error| error.to_string()), some(contains_substring("check that")));
    Ok(())
}

#[googletest::test]
fn report_counts_losses_and_is_drawn() -> Result<()> {
    let logs = LogFile::write("report")?;
    let report = logs.report()?;
    insta::assert_snapshot!(serde_json::to_string_pretty(&report)?);
    let file = env::temp_dir().join(format!("mastweir-logs-{}.svg", process::id()));
    plot(&report, PlotOptions { file: &file })?;
    let drawn = fs::read_to_string(&file)?;
    fs::remove_file(&file)?;
    expect_that!(drawn, contains_substring("<svg"));
    expect_that!(drawn, contains_substring("refused"));
    Ok(())
}
