//! Commands that read log files of hosts.

#![allow(clippy::unwrap_used)]

mod fakes;

use fakes::{run_at, write_file};
use skylarkdock_cli::exit::Exit;

const LOG: &str = r#"
{"timestamp":"2026-02-14T21:47:06.000000+00:00","level":"INFO","message":"owners: released","kvs":{"end":"Err(Unknown)","fence":"7","first":30000,"last":40000,"service":"films","upstream":"i-1"}}
{"timestamp":"2026-02-14T21:47:10.000000+00:00","level":"WARN","message":"request: refused, not run","kvs":{"config":4,"key":"Some(33840)","kind":"idempotent","limit_ms":4000,"reason":"key_unowned","request":"aa01","route":"read","sent":0,"service":"films","status":503,"steps":"","took_ms":600,"waited_ms":600}}
{"timestamp":"2026-02-14T21:47:10.500000+00:00","level":"WARN","message":"request: failed, may have run","kvs":{"config":4,"key":"None","kind":"once","request":"bb02","sent":1,"service":"files","status":502,"steps":"i-4:broken@90ms","took_ms":91,"waited_ms":0}}
"#;

#[test]
fn explain_reads_the_outcome_from_log_files() {
    let log = write_file("host-1.log", LOG);
    let refused = run_at("", &["explain", "aa01", "--logs", &log]);
    assert_eq!(refused.exit, Exit::Done);
    assert!(refused.out.starts_with("not run\n"), "{}", refused.out);
    assert!(refused.out.contains("no upstream owned its key"), "{}", refused.out);
    assert!(refused.out.contains("owners: released"), "{}", refused.out);
    let unknown = run_at("", &["explain", "bb02", "--logs", &log, "--output", "json"]);
    assert_eq!(unknown.exit, Exit::Unknown);
    assert_eq!(unknown.json()["fate"], "unknown");
    assert_eq!(unknown.json()["lines"][0]["fields"]["status"], "502");
    let missing = run_at("", &["explain", "zz", "--logs", &log]);
    assert_eq!(missing.exit, Exit::Failed);
    assert!(missing.out.contains("3 lines were read"), "{}", missing.out);
}

#[test]
fn timeline_lists_decisions_from_log_files() {
    let log = write_file("host-1.log", LOG);
    let all = run_at("", &["timeline", "--logs", &log, "--topic", "owners", "--key", "30001"]);
    assert_eq!((all.exit, all.out.lines().count()), (Exit::Done, 1), "{}", all.out);
    let other = run_at("", &["timeline", "--logs", &log, "--key", "1"]);
    assert_eq!(other.out, "");
}
