//! Events as a self-contained HTML page with an SVG picture, one lane for each process.

use crate::date::Utc;
use crate::event::{Event, EventRef};
use crate::kind::Topic;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::WallTime;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

const WIDTH_PX: u64 = 1600;
const LEFT_PX: u64 = 180;
const TOP_PX: u64 = 30;
const LANE_PX: u64 = 48;
const ROWS_PER_LANE: u64 = 5;
const ROW_PX: u64 = 7;
const AXIS_MARKS: u64 = 8;

const HEAD: &str = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n\
<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; style-src 'unsafe-inline'\">\n\
<title>skylarkdock time line</title>\n<style>body{font:13px sans-serif}text{font:11px sans-serif}\
.lane{stroke:#ddd}.cause{stroke:#999;stroke-opacity:.6}circle:hover{stroke:#000;stroke-width:2}\
pre{font:12px monospace}</style></head><body>\n";

/// Escapes text for HTML content and attributes.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&#39;"),
            c if c.is_control() => out.push(' '),
            c => out.push(c),
        }
    }
    out
}

/// Renders merged events as a page that needs nothing else to be shown.
pub fn render(events: &[Event]) -> String {
    let mut out = String::from(HEAD);
    // Writing to a string can't fail.
    let _ = draw(&mut out, events);
    out
}

fn draw(out: &mut String, events: &[Event]) -> fmt::Result {
    legend(out)?;
    let layout = Layout::new(events);
    let height = TOP_PX + LANE_PX * layout.lanes.len() as u64 + TOP_PX;
    writeln!(out, "<svg width=\"{WIDTH_PX}\" height=\"{height}\" role=\"img\">")?;
    layout.draw_lanes(out)?;
    layout.draw_axis(out, height)?;
    layout.draw_causes(out, events)?;
    layout.draw_events(out, events)?;
    out.push_str("</svg>\n<pre>\n");
    for event in events {
        writeln!(out, "{}", escape(&event.to_string()))?;
    }
    out.push_str("</pre></body></html>\n");
    Ok(())
}

fn legend(out: &mut String) -> fmt::Result {
    out.push_str("<p>");
    for topic in Topic::ALL {
        write!(out, "<span style=\"color:{}\">&#9679;</span> {topic} &nbsp; ", colour(*topic))?;
    }
    writeln!(out, "</p>")
}

const fn colour(topic: Topic) -> &'static str {
    match topic {
        Topic::Process => "#555555",
        Topic::Record => "#1f77b4",
        Topic::Lease => "#2ca02c",
        Topic::Upstream => "#ff7f0e",
        Topic::Host => "#9467bd",
        Topic::Log => "#8c564b",
        Topic::Request => "#d62728",
    }
}

/// Where lanes and events go.
struct Layout<'a> {
    lanes: BTreeMap<&'a HostId, u64>,
    start: WallTime,
    span_ms: u64,
}

impl<'a> Layout<'a> {
    fn new(events: &'a [Event]) -> Self {
        let mut lanes: BTreeMap<&HostId, u64> = BTreeMap::new();
        for event in events {
            lanes.insert(&event.host, 0);
        }
        for (index, lane) in lanes.values_mut().enumerate() {
            *lane = index as u64;
        }
        let walls = events.iter().map(|event| event.stamp.wall);
        let start = walls.clone().min().unwrap_or_default();
        let end = walls.max().unwrap_or_default();
        Self { lanes, start, span_ms: (end.0 - start.0).max(1) }
    }

    fn x(&self, wall: WallTime) -> u64 {
        let room = u128::from(WIDTH_PX - LEFT_PX - TOP_PX);
        let past = u128::from(wall.0.saturating_sub(self.start.0));
        let scaled = past * room / u128::from(self.span_ms);
        LEFT_PX + u64::try_from(scaled).unwrap_or(WIDTH_PX)
    }

    fn lane_top(&self, host: &HostId) -> u64 {
        TOP_PX + LANE_PX * self.lanes.get(host).copied().unwrap_or_default()
    }

    /// Returns the middle of the event's mark; rows keep events of the same time apart.
    fn place(&self, event: &Event) -> (u64, u64) {
        let row = event.seq % ROWS_PER_LANE + 1;
        (self.x(event.stamp.wall), self.lane_top(&event.host) + row * ROW_PX)
    }

    fn draw_lanes(&self, out: &mut String) -> fmt::Result {
        for host in self.lanes.keys() {
            let top = self.lane_top(host);
            writeln!(
                out,
                "<line class=\"lane\" x1=\"0\" x2=\"{WIDTH_PX}\" y1=\"{top}\" y2=\"{top}\"/>"
            )?;
            let name = escape(host.as_str());
            writeln!(out, "<text x=\"4\" y=\"{}\">{name}</text>", top + LANE_PX / 2)?;
        }
        Ok(())
    }

    fn draw_axis(&self, out: &mut String, height: u64) -> fmt::Result {
        for mark in 0..=AXIS_MARKS {
            let wall = WallTime(self.start.0 + self.span_ms * mark / AXIS_MARKS);
            let x = self.x(wall);
            writeln!(
                out,
                "<line class=\"lane\" x1=\"{x}\" x2=\"{x}\" y1=\"{TOP_PX}\" y2=\"{height}\"/>"
            )?;
            let label = Utc(wall).to_string();
            let time = label.split('T').nth(1).unwrap_or_default();
            writeln!(
                out,
                "<text x=\"{x}\" y=\"{}\" text-anchor=\"middle\">{time}</text>",
                TOP_PX - 8
            )?;
        }
        Ok(())
    }

    fn draw_causes(&self, out: &mut String, events: &[Event]) -> fmt::Result {
        let by_ref: FastMap<EventRef, &Event> =
            events.iter().map(|event| (event.reference(), event)).collect();
        for event in events {
            let Some(cause) = event.cause.as_ref().and_then(|cause| by_ref.get(cause)) else {
                continue;
            };
            let ((x1, y1), (x2, y2)) = (self.place(cause), self.place(event));
            writeln!(
                out,
                "<line class=\"cause\" x1=\"{x1}\" y1=\"{y1}\" x2=\"{x2}\" y2=\"{y2}\"/>"
            )?;
        }
        Ok(())
    }

    fn draw_events(&self, out: &mut String, events: &[Event]) -> fmt::Result {
        for event in events {
            let (x, y) = self.place(event);
            let colour = colour(event.kind.topic());
            let title = escape(&event.to_string());
            writeln!(
                out,
                "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"{colour}\"><title>{title}</title></circle>"
            )?;
        }
        Ok(())
    }
}
