//! Least-squares fits of a value that grows linearly with one or several sizes.

use serde::Serialize;

/// Pivots up to this share of the largest diagonal element count as zero.
const SINGULAR_PIVOT_SHARE: f64 = 1e-9;

/// Linear fit: an intercept, and a slope for each size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fit {
    /// Value where all sizes are 0.
    pub intercept: f64,
    /// Increase of the value per unit of each size.
    pub slopes: Vec<f64>,
    /// Share of the variance that the fit explains; 1 if the values don't vary.
    pub r2: f64,
}

impl Fit {
    /// Fits a line to `(x, y)` points; returns `None` if they don't determine it.
    pub fn line(points: &[(f64, f64)]) -> Option<Self> {
        let rows: Vec<_> = points.iter().map(|(x, y)| (vec![*x], *y)).collect();
        Self::plane(&rows)
    }

    /// Fits a plane over several sizes; returns `None` if the points don't determine it.
    pub fn plane(rows: &[(Vec<f64>, f64)]) -> Option<Self> {
        let width = rows.first()?.0.len() + 1;
        let mut normal = vec![vec![0.0; width + 1]; width];
        for (sizes, y) in rows {
            let terms: Vec<f64> = std::iter::once(1.0).chain(sizes.iter().copied()).collect();
            for (row, a) in normal.iter_mut().zip(&terms) {
                for (cell, b) in row.iter_mut().zip(terms.iter().chain([y])) {
                    *cell += a * b;
                }
            }
        }
        let solved = solve(normal)?;
        let (intercept, slopes) = solved.split_first()?;
        let mut fit = Self { intercept: *intercept, slopes: slopes.to_vec(), r2: 1.0 };
        fit.r2 = fit.r_squared(rows);
        Some(fit)
    }

    /// Returns the fitted value at the given sizes.
    pub fn at(&self, sizes: &[f64]) -> f64 {
        self.intercept + self.slopes.iter().zip(sizes).map(|(slope, x)| slope * x).sum::<f64>()
    }

    fn r_squared(&self, rows: &[(Vec<f64>, f64)]) -> f64 {
        let mean = rows.iter().map(|(_, y)| y).sum::<f64>() / rows.len() as f64;
        let total: f64 = rows.iter().map(|(_, y)| (y - mean).powi(2)).sum();
        let residual: f64 = rows.iter().map(|(sizes, y)| (y - self.at(sizes)).powi(2)).sum();
        if total <= f64::EPSILON { 1.0 } else { 1.0 - residual / total }
    }
}

/// Solves linear equations by Gauss-Jordan elimination with partial pivoting; the last cell of a row is its right side.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let width = rows.len();
    let scale = rows.iter().enumerate().map(|(i, row)| row[i].abs()).fold(0.0, f64::max);
    for column in 0..width {
        let pivot = (column..width)
            .max_by(|a, b| rows[*a][column].abs().total_cmp(&rows[*b][column].abs()))?;
        rows.swap(column, pivot);
        if rows[column][column].abs() <= scale * SINGULAR_PIVOT_SHARE {
            return None;
        }
        let pivot_row = rows[column].clone();
        for (index, row) in rows.iter_mut().enumerate() {
            if index != column {
                let factor = row[column] / pivot_row[column];
                row.iter_mut().zip(&pivot_row).for_each(|(cell, by)| *cell -= factor * by);
            }
        }
    }
    Some((0..width).map(|i| rows[i][width] / rows[i][i]).collect())
}
