//! Rendering of events as a self-contained HTML page with an SVG diagram that has a lane for each host.

use crate::date::Rfc3339Utc;
use crate::event::{Event, EventRef};
use crate::kind::Topic;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::WallTime;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

const WIDTH_PX: u64 = 1600;
const LANE_LABEL_WIDTH_PX: u64 = 180;
const MARGIN_PX: u64 = 30;
const LANE_HEIGHT_PX: u64 = 48;
const ROWS_PER_LANE: u64 = 5;
const ROW_HEIGHT_PX: u64 = 7;
const AXIS_INTERVALS: u64 = 8;

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

/// Renders merged events as an HTML page that loads no other resources.
pub fn render(events: &[Event]) -> String {
    let mut out = String::from(HEAD);
    // Writing to a string can't fail.
    let _ = draw(&mut out, events);
    out
}

fn draw(out: &mut String, events: &[Event]) -> fmt::Result {
    legend(out)?;
    let layout = Layout::new(events);
    let height = MARGIN_PX + LANE_HEIGHT_PX * layout.lanes.len() as u64 + MARGIN_PX;
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

/// Positions of lanes and events in the diagram.
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
        let wall_times = events.iter().map(|event| event.stamp.wall);
        let start = wall_times.clone().min().unwrap_or_default();
        let end = wall_times.max().unwrap_or_default();
        Self { lanes, start, span_ms: (end.0 - start.0).max(1) }
    }

    fn x(&self, wall: WallTime) -> u64 {
        let width = u128::from(WIDTH_PX - LANE_LABEL_WIDTH_PX - MARGIN_PX);
        let elapsed_ms = u128::from(wall.0.saturating_sub(self.start.0));
        let scaled = elapsed_ms * width / u128::from(self.span_ms);
        LANE_LABEL_WIDTH_PX + u64::try_from(scaled).unwrap_or(WIDTH_PX)
    }

    fn lane_top(&self, host: &HostId) -> u64 {
        MARGIN_PX + LANE_HEIGHT_PX * self.lanes.get(host).copied().unwrap_or_default()
    }

    /// Returns the center of the event's mark. Consecutive events of a host go to different rows, so that
    /// marks of the same time don't overlap.
    fn mark_position(&self, event: &Event) -> (u64, u64) {
        let row = event.seq % ROWS_PER_LANE + 1;
        (self.x(event.stamp.wall), self.lane_top(&event.host) + row * ROW_HEIGHT_PX)
    }

    fn draw_lanes(&self, out: &mut String) -> fmt::Result {
        for host in self.lanes.keys() {
            let top = self.lane_top(host);
            writeln!(
                out,
                "<line class=\"lane\" x1=\"0\" x2=\"{WIDTH_PX}\" y1=\"{top}\" y2=\"{top}\"/>"
            )?;
            let name = escape(host.as_str());
            writeln!(out, "<text x=\"4\" y=\"{}\">{name}</text>", top + LANE_HEIGHT_PX / 2)?;
        }
        Ok(())
    }

    fn draw_axis(&self, out: &mut String, height: u64) -> fmt::Result {
        for tick in 0..=AXIS_INTERVALS {
            let wall = WallTime(self.start.0 + self.span_ms * tick / AXIS_INTERVALS);
            let x = self.x(wall);
            writeln!(
                out,
                "<line class=\"lane\" x1=\"{x}\" x2=\"{x}\" y1=\"{MARGIN_PX}\" y2=\"{height}\"/>"
            )?;
            let label = Rfc3339Utc(wall).to_string();
            let time = label.split('T').nth(1).unwrap_or_default();
            writeln!(
                out,
                "<text x=\"{x}\" y=\"{}\" text-anchor=\"middle\">{time}</text>",
                MARGIN_PX - 8
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
            let ((x1, y1), (x2, y2)) = (self.mark_position(cause), self.mark_position(event));
            writeln!(
                out,
                "<line class=\"cause\" x1=\"{x1}\" y1=\"{y1}\" x2=\"{x2}\" y2=\"{y2}\"/>"
            )?;
        }
        Ok(())
    }

    fn draw_events(&self, out: &mut String, events: &[Event]) -> fmt::Result {
        for event in events {
            let (x, y) = self.mark_position(event);
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
