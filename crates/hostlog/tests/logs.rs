//! Explanations and selected decisions from log lines as hosts write them.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_hostlog::decisions::{self, Filter};
use skylarkdock_hostlog::explanation::{self, Outcome};
use skylarkdock_hostlog::line::Line;

const LOG: &str = r#"
   0.1 host-1 {"timestamp":"2026-02-14T21:47:01.100000+00:00","level":"INFO","target":"t","file":"f","line":1,"message":"host: started","kvs":{"host":"host-1","zone":"z1"}}
   0.2 host-2 {"timestamp":"2026-02-14T21:47:01.200000+00:00","level":"INFO","message":"config: in force","kvs":{"routes":2,"version":4}}
   5.0 host-1 {"timestamp":"2026-02-14T21:47:06.000000+00:00","level":"INFO","message":"owners: released","kvs":{"end":"Err(Unknown)","fence":"7","first":30000,"last":40000,"service":"films","upstream":"i-1"}}
   5.1 host-1 {"timestamp":"2026-02-14T21:47:06.100000+00:00","level":"INFO","message":"owners: released","kvs":{"end":"Ok(None)","fence":"8","first":100,"last":200,"service":"films","upstream":"i-9"}}
   9.0 host-2 {"timestamp":"2026-02-14T21:47:10.000000+00:00","level":"WARN","message":"request: refused, not run","kvs":{"config":4,"key":"Some(33840)","kind":"idempotent","limit_ms":4000,"reason":"key_unowned","request":"aa01","route":"read","sent":0,"service":"films","status":503,"steps":"","took_ms":600,"waited_ms":600}}
   9.5 host-1 {"timestamp":"2026-02-14T21:47:10.500000+00:00","level":"WARN","message":"request: failed, may have run","kvs":{"config":4,"key":"None","kind":"once","limit_ms":2500,"reason":"none","request":"bb02","route":"file","sent":1,"service":"files","status":502,"steps":"i-3:shed@2ms i-4:broken@90ms","took_ms":91,"waited_ms":0}}
   9.6 host-1 {"timestamp":"2026-02-14T21:47:10.600000+00:00","level":"INFO","message":"crashes: an upstream ended with requests in flight","kvs":{"upstream":"i-4","in_flight":1,"load":3}}
   9.7 host-2 {"timestamp":"2026-02-14T21:47:10.700000+00:00","level":"INFO","message":"request: answered","kvs":{"config":4,"key":"Some(5)","kind":"idempotent","limit_ms":4000,"reason":"none","request":"cc03","route":"read","sent":1,"service":"films","status":200,"steps":"i-1:late@300ms i-2:200@350ms","took_ms":351,"waited_ms":20}}
   9.8 host-2 {"timestamp":"2026-02-14T21:47:10.800000+00:00","level":"WARN","message":"request: rejected before routing","kvs":{"config":4,"request":"Some(\"dd04\")","status":404}}
   9.8 host-2 {"timestamp":"2026-02-14T21:47:10.850000+00:00","level":"WARN","message":"request: rejected before routing","kvs":{"config":4,"reason":"no_key","request":"Some(\"ff06\")","status":400}}
   9.9 host-2 {"timestamp":"2026-02-14T21:47:10.900000+00:00","level":"INFO","message":"log: lines were held back","kvs":{"kind":"request: answered","count":9}}
not a line of a host
"#;

fn lines() -> Vec<Line> {
    LOG.lines().filter_map(|line| Line::parse(line, "file")).collect()
}

#[rstest]
#[case::refused("aa01", Outcome::NotRun, "no upstream owned its key")]
#[case::unknown("bb02", Outcome::Unknown, "i-3 shed after 2ms, then i-4 broken after 90ms")]
#[case::answered("cc03", Outcome::Answered, "351 ms, of which 20 ms waiting")]
#[case::rejected("dd04", Outcome::NotRun, "404: no route (configuration 4)")]
#[case::rejected_with_a_reason(
    "ff06",
    Outcome::NotRun,
    "400: its service is sharded and it has no key"
)]
fn a_request_is_explained(#[case] id: &str, #[case] outcome: Outcome, #[case] cause: &str) {
    let lines = lines();
    let explanation = explanation::explain(&lines, id).unwrap();
    assert_eq!(explanation.outcome, outcome);
    assert!(explanation.causes[0].contains(cause), "{}", explanation.causes[0]);
    assert!(explanation.to_string().contains(cause));
}

#[test]
fn ownership_changes_of_its_key_and_the_crash_of_its_upstream_are_related() {
    let lines = lines();
    let related = |id: &str| -> Vec<String> {
        let explanation = explanation::explain(&lines, id).unwrap();
        explanation.related.iter().map(|line| line.message.clone()).collect()
    };
    // The ownership change of other keys is not related.
    assert_eq!(related("aa01"), ["config: in force", "owners: released"]);
    assert!(related("bb02").iter().any(|message| message.starts_with("crashes:")));
}

#[test]
fn a_request_without_a_line_has_no_explanation() {
    let lines = lines();
    assert!(explanation::explain(&lines, "ee05").is_none());
    assert_eq!(explanation::held_back(&lines), 9);
}

#[rstest]
#[case::all(Filter::default(), 6)]
#[case::host(Filter { host: Some("host-2".to_owned()), ..Filter::default() }, 2)]
#[case::topic(Filter { topic: Some("owners".to_owned()), ..Filter::default() }, 2)]
#[case::key(Filter { topic: Some("owners".to_owned()), key: Some(150), ..Filter::default() }, 1)]
fn decisions_are_selected(#[case] filter: Filter, #[case] count: usize) {
    assert_eq!(decisions::select(&lines(), &filter).len(), count);
}

#[test]
fn a_host_is_named_by_the_line_or_by_the_file() {
    let text = r#"{"timestamp":"2026-02-14T21:47:01.1+00:00","level":"INFO","message":"host: started","kvs":{}}"#;
    assert_eq!(Line::parse(text, "host-7").unwrap().host, "host-7");
    assert_eq!(Line::parse(&format!("12.5 host-3 {text}"), "host-7").unwrap().host, "host-3");
    assert!(Line::parse("{\"level\":\"INFO\"}", "host-7").is_none());
}
