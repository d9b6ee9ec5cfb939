//! Colours, each with its counterpart on a dark ground.
//!
//! Plots are drawn in the light colours. The page's style maps every one of them to a variable that the
//! reader's colour scheme sets, so one drawing serves both.

use plotters::style::RGBColor;
use std::fmt::Write;

/// A colour on light ground and on dark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Colour {
    light: (u8, u8, u8),
    dark: (u8, u8, u8),
}

const fn colour(light: (u8, u8, u8), dark: (u8, u8, u8)) -> Colour {
    Colour { light, dark }
}

/// Texts in plots.
pub(super) const TEXT: Colour = colour((0x3D, 0x45, 0x4D), (0xC6, 0xCE, 0xD6));
/// Axes.
pub(super) const AXIS: Colour = colour((0x8C, 0x95, 0x9E), (0x76, 0x80, 0x8A));
/// Lines behind the plot.
pub(super) const GRID: Colour = colour((0xE4, 0xE8, 0xEC), (0x2E, 0x35, 0x3D));
/// Where something goes wrong.
pub(super) const FAULT: Colour = colour((0xC9, 0x3C, 0x37), (0xFF, 0x7B, 0x72));
/// What a check held back.
pub(super) const DOWN: Colour = colour((0x6E, 0x40, 0xC9), (0xB0, 0x8C, 0xF5));

/// Series, told apart also by those who see few colours (after Okabe and Ito 2008).
pub(super) const SERIES: [Colour; 8] = [
    colour((0x00, 0x72, 0xB2), (0x58, 0xA6, 0xFF)),
    colour((0xD5, 0x5E, 0x00), (0xFF, 0x9E, 0x57)),
    colour((0x00, 0x9E, 0x73), (0x3F, 0xD0, 0xA4)),
    colour((0xCC, 0x79, 0xA7), (0xF0, 0xA5, 0xCC)),
    colour((0xE6, 0x9F, 0x00), (0xF2, 0xC1, 0x4E)),
    colour((0x56, 0xB4, 0xE9), (0x9A, 0xD8, 0xFF)),
    colour((0x7A, 0x7A, 0x29), (0xC8, 0xC8, 0x6A)),
    colour((0x44, 0x44, 0x44), (0xB5, 0xB5, 0xB5)),
];

const OTHERS: [Colour; 5] = [TEXT, AXIS, GRID, FAULT, DOWN];

impl Colour {
    /// As plots draw it.
    pub(super) fn draw(self) -> RGBColor {
        RGBColor(self.light.0, self.light.1, self.light.2)
    }

    /// Its variable in the page's style.
    pub(super) fn variable(self) -> String {
        format!("--c{}", hex(self.light))
    }
}

fn hex((red, green, blue): (u8, u8, u8)) -> String {
    format!("{red:02X}{green:02X}{blue:02X}")
}

/// The part of the page's style that sets the colours.
pub(super) fn style() -> String {
    let all = || SERIES.iter().chain(&OTHERS);
    let (mut light, mut dark, mut plots) = (String::new(), String::new(), String::new());
    for colour in all() {
        let (name, value) = (colour.variable(), hex(colour.light));
        // Writing into a text cannot fail.
        let _ = write!(light, "{name}:#{value};");
        let _ = write!(dark, "{name}:#{};", hex(colour.dark));
        let _ = writeln!(plots, "svg [fill=\"#{value}\"]{{fill:var({name})}}");
        let _ = writeln!(plots, "svg [stroke=\"#{value}\"]{{stroke:var({name})}}");
    }
    format!(":root{{{light}}}\n@media (prefers-color-scheme:dark){{:root{{{dark}}}}}\n{plots}")
}
