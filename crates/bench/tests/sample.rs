//! Parsing of `/proc` files and of metrics.

use skylarkdock_bench::sample;

#[test]
fn ticks_are_parsed_after_a_name_with_parentheses() {
    let stat = "12 (a) b (c)) S 1 12 12 0 -1 4194560 1 0 0 0 70 35 0 0 20 0 8 0 1 1 1";
    assert_eq!(sample::ticks(stat), 105);
    assert_eq!(sample::ticks(""), 0);
}

#[test]
fn resident_memory_is_parsed() {
    assert_eq!(sample::resident_kib("VmPeak:\t 9 kB\nVmRSS:\t 2048 kB\n"), 2048);
}

#[test]
fn thread_kind_omits_the_number() {
    assert_eq!(sample::kind("traffic-12"), "traffic");
    assert_eq!(sample::kind("skylarkdockd"), "skylarkdockd");
}

#[test]
fn metric_sums_over_labels() {
    let text = "# TYPE a counter\na{x=\"1\"} 2\na{x=\"2\"} 3\na_total 7\nb 4\n";
    assert!((sample::metric(text, "a") - 5.0).abs() < 1e-9);
    assert!((sample::metric(text, "b") - 4.0).abs() < 1e-9);
}

#[test]
fn own_process_can_be_read() {
    let reading = sample::read(std::process::id());
    assert!(reading.is_ok_and(|reading| reading.resident_kib > 0 && !reading.threads.is_empty()));
}
