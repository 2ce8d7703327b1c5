//! Linear least-squares regression.

/// Least-squares line through a set of points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Change of the value per unit of the horizontal axis.
    pub slope: f64,
    /// Value of the line at zero.
    pub intercept: f64,
    /// Coefficient of determination: the fraction of the variance that the line explains.
    pub r2: f64,
}

impl Fit {
    /// Returns the least-squares line through pairs of x and y.
    ///
    /// Returns `None` for fewer than three points, or if all points have the same x.
    ///
    /// # Examples
    ///
    /// ```
    /// use xtask::bench::Fit;
    ///
    /// let fit = Fit::through(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]);
    /// assert_eq!(fit, Some(Fit { slope: 2.0, intercept: 3.0, r2: 1.0 }));
    /// ```
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sum = |f: &dyn Fn(f64, f64) -> f64| {
            points
                .iter()
                .map(|(x, y)| f(x - mean_x, y - mean_y))
                .sum::<f64>()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        if points.len() < 3 || xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        let r2 = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        Some(Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r2,
        })
    }
}
