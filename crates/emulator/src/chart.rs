//! SVG charts over the offered load, in a self-contained HTML page.

use crate::policy::Policy;
use std::fmt::Write;

const WIDTH: f64 = 560.0;
const HEIGHT: f64 = 280.0;
const LEFT: f64 = 52.0;
const BOTTOM: f64 = 36.0;
const TOP: f64 = 14.0;
const RIGHT: f64 = 130.0;
const COLOURS: [&str; 4] = ["#0b6e4f", "#c84630", "#3b5ba5", "#8a6d1d"];

/// Values of one policy, as pairs of offered load and value.
pub type Curve = (Policy, Vec<(f64, f64)>);

/// Returns an HTML page with a chart for each pair of title and curves.
pub fn page(title: &str, charts: &[(String, Vec<Curve>)]) -> String {
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font:14px sans-serif;margin:2em;max-width:{}px}}text{{font:11px sans-serif}}\
         h2{{font-size:15px;margin:1.4em 0 .2em}}</style><h1>{title}</h1>",
        WIDTH + LEFT + RIGHT + 60.0
    );
    for (name, curves) in charts {
        // Writing to a `String` can't fail.
        let _ = write!(html, "<h2>{name}</h2>{}", svg(curves));
    }
    html.push_str("</html>\n");
    html
}

/// Returns an SVG chart of curves, with a label at the end of each.
pub fn svg(curves: &[Curve]) -> String {
    let points = || curves.iter().flat_map(|(_, points)| points);
    let max_x = points().map(|(x, _)| *x).fold(1e-9, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.05;
    let x = |value: f64| LEFT + value / max_x * WIDTH;
    let y = |value: f64| TOP + HEIGHT - value / max_y * HEIGHT;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\">",
        LEFT + WIDTH + RIGHT,
        TOP + HEIGHT + BOTTOM
    );
    for step in 0..=4 {
        let fraction = f64::from(step) / 4.0;
        let (at_y, at_x) = (y(max_y * fraction), x(max_x * fraction));
        let _ = write!(
            svg,
            "<line x1=\"{LEFT}\" x2=\"{:.1}\" y1=\"{at_y:.1}\" y2=\"{at_y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
             <text x=\"{at_x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{:.1}</text>",
            LEFT + WIDTH,
            LEFT - 6.0,
            at_y + 4.0,
            format_tick(max_y * fraction),
            TOP + HEIGHT + 16.0,
            max_x * fraction
        );
    }
    let _ = write!(
        svg,
        "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">offered load, as a fraction of the capacity</text>",
        LEFT + WIDTH / 2.0,
        TOP + HEIGHT + 32.0
    );
    let mut labels: Vec<(f64, usize)> = Vec::new();
    for (index, (_, points)) in curves.iter().enumerate() {
        let polyline: Vec<String> =
            points.iter().map(|(px, py)| format!("{:.1},{:.1}", x(*px), y(*py))).collect();
        let colour = COLOURS[index % COLOURS.len()];
        let _ = write!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"{}\"/>",
            polyline.join(" ")
        );
        labels.push((points.last().map_or(0.0, |(_, py)| y(*py)), index));
    }
    labels.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut label_y = f64::MIN;
    for (end_y, index) in labels {
        // Labels of curves that end close together are moved down so that they do not overlap.
        label_y = end_y.max(label_y + 13.0);
        let colour = COLOURS[index % COLOURS.len()];
        let _ = write!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{}</text>",
            LEFT + WIDTH + 6.0,
            label_y + 4.0,
            curves[index].0
        );
    }
    svg.push_str("</svg>");
    svg
}

fn format_tick(value: f64) -> String {
    if value >= 20.0 { format!("{value:.0}") } else { format!("{value:.2}") }
}
