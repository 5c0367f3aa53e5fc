//! Least-squares fits of lines and planes.
#![allow(clippy::unwrap_used)]

use skylarkdock_bench::fit::Fit;

fn is_near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6
}

#[test]
fn a_line_is_found() {
    let fit = Fit::line(&[(4.0, 11.0), (8.0, 19.0), (16.0, 35.0)]).unwrap();
    assert!(is_near(fit.intercept, 3.0) && is_near(fit.slopes[0], 2.0) && is_near(fit.r2, 1.0));
    assert!(is_near(fit.at(&[480.0]), 963.0));
}

#[test]
fn a_plane_is_found() {
    let at = |x: f64, y: f64| (vec![x, y], 1.0 + 2.0 * x + 3.0 * y);
    let fit = Fit::plane(&[at(1.0, 1.0), at(2.0, 5.0), at(3.0, 2.0), at(7.0, 4.0)]).unwrap();
    assert!(
        is_near(fit.intercept, 1.0) && is_near(fit.slopes[0], 2.0) && is_near(fit.slopes[1], 3.0)
    );
}

#[test]
fn scattered_points_lower_r2() {
    let fit = Fit::line(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)]).unwrap();
    assert!(is_near(fit.slopes[0], 0.8) && is_near(fit.r2, 0.64));
}

#[test]
fn points_at_one_size_have_no_line() {
    assert_eq!(Fit::line(&[(4.0, 1.0), (4.0, 2.0), (4.0, 3.0)]), None);
    assert_eq!(Fit::line(&[]), None);
}
