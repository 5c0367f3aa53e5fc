//! Values of the fields that a request is routed by.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_http1::fields;
use skylarkdock_http1::head::{Headers, RequestHead};

fn headers(values: &[&str]) -> Headers {
    let fields: String = values.iter().map(|value| format!("Name: {value}\r\n")).collect();
    let text = format!("GET / HTTP/1.1\r\n{fields}\r\n");
    RequestHead::parse(text.as_bytes()).unwrap().unwrap().0.headers
}

/// Guards against a rejection of a number whose meaning is plain.
#[rstest]
#[case::absent(&[], Some(None))]
#[case::whole(&["1500"], Some(Some(1_500)))]
#[case::zero(&["0"], Some(Some(0)))]
#[case::leading_zeros(&["0001500"], Some(Some(1_500)))]
#[case::plus_sign(&["+1500"], Some(Some(1_500)))]
#[case::white_space(&[" \t1500 \t"], Some(Some(1_500)))]
#[case::fraction(&["1499.75"], Some(Some(1_499)))]
#[case::below_one(&["0.5"], Some(Some(0)))]
#[case::without_a_whole_part(&[".5"], Some(Some(0)))]
#[case::without_a_fraction(&["5."], Some(Some(5)))]
#[case::exponent(&["1.5e3"], Some(Some(1_500)))]
#[case::signed_exponent(&["15E+2"], Some(Some(1_500)))]
#[case::negative(&["-1"], Some(Some(0)))]
#[case::negative_fraction(&["-0.25"], Some(Some(0)))]
#[case::negative_exponent(&["15e-1"], Some(Some(1)))]
#[case::above_64_bits(&["18446744073709551616"], Some(Some(u64::MAX)))]
#[case::above_any_float(&["1e400"], Some(Some(u64::MAX)))]
#[case::below_64_bits(&["-99999999999999999999"], Some(Some(0)))]
#[case::empty(&[""], Some(None))]
#[case::the_same_twice(&["1500", "1500.0"], Some(Some(1_500)))]
#[case::two(&["1500", "700"], Some(Some(700)))]
#[case::empty_and_stated(&["", "700"], Some(Some(700)))]
#[case::word(&["soon"], None)]
#[case::unit(&["1500ms"], None)]
#[case::list(&["1500,700"], None)]
#[case::grouped(&["1_500"], None)]
#[case::hexadecimal(&["0x5dc"], None)]
#[case::infinite(&["inf"], None)]
#[case::no_number(&["nan"], None)]
#[case::dot(&["."], None)]
#[case::sign(&["-"], None)]
#[case::two_signs(&["--5"], None)]
#[case::signed_fraction(&["5.-5"], None)]
#[case::exponent_alone(&["e3"], None)]
#[case::one_word_of_two(&["1500", "soon"], None)]
fn a_time_is_read_by_its_plain_meaning(
    #[case] values: &[&str],
    #[case] expected: Option<Option<u64>>,
) {
    assert_eq!(fields::millis(&headers(values), "name").ok(), expected);
}

/// Guards against a rejection of a key whose meaning is plain, and against a key that the caller did not state.
#[rstest]
#[case::absent(&[], Some(None))]
#[case::whole(&["7"], Some(Some(7)))]
#[case::first(&["0"], Some(Some(0)))]
#[case::last(&["65535"], Some(Some(65_535)))]
#[case::leading_zeros(&["0000007"], Some(Some(7)))]
#[case::plus_sign(&["+7"], Some(Some(7)))]
#[case::white_space(&["\t 7 "], Some(Some(7)))]
#[case::whole_fraction(&["7.0"], Some(Some(7)))]
#[case::exponent(&["1e3"], Some(Some(1_000)))]
#[case::negative_zero(&["-0"], Some(Some(0)))]
#[case::empty(&[""], Some(None))]
#[case::the_same_twice(&["7", "07"], Some(Some(7)))]
#[case::too_large(&["65536"], None)]
#[case::above_64_bits(&["18446744073709551616"], None)]
#[case::negative(&["-1"], None)]
#[case::fraction(&["7.5"], None)]
#[case::word(&["film"], None)]
#[case::hexadecimal(&["0x7"], None)]
#[case::no_number(&["nan"], None)]
#[case::two(&["7", "8"], None)]
fn a_key_is_read_by_its_plain_meaning(
    #[case] values: &[&str],
    #[case] expected: Option<Option<u16>>,
) {
    assert_eq!(fields::key(&headers(values), "name").ok(), expected);
}

#[rstest]
#[case::absent(&[], None)]
#[case::one(&["a 1"], Some("a 1"))]
#[case::white_space(&[" \ta "], Some("a"))]
#[case::the_same_twice(&["a", "a"], Some("a"))]
#[case::empty(&[""], None)]
#[case::empty_and_stated(&["", "a"], None)]
#[case::two(&["a", "b"], None)]
fn an_id_is_the_value_that_all_fields_repeat(
    #[case] values: &[&str],
    #[case] expected: Option<&str>,
) {
    assert_eq!(fields::id(&headers(values), "name"), expected);
}
