//! How many attempts beyond the first one a service may cost: a token bucket.

/// Tokens that a retry costs.
const RETRY: u32 = 1_000;

/// What can be tuned, in thousandths of a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Tokens that each new request brings; a retry costs 1000.
    pub per_request: u32,
    /// Most tokens kept, which bounds the burst of retries after a quiet time.
    pub most: u32,
    /// Tokens at the start.
    pub initial: u32,
}

impl Default for Options {
    /// At most `2 + 0.08 n` retries for the first `n` requests: 1.1 attempts a request or fewer
    /// from the hundredth request on.
    fn default() -> Self {
        Self { per_request: 80, most: 10_000, initial: 2_000 }
    }
}

/// Retry budget of one service on one entry host.
///
/// Without it an outage multiplies the load: every request in progress is tried again and again,
/// and the backend servers that come back are overloaded by retries.
#[derive(Debug, Clone)]
pub struct Budget {
    options: Options,
    tokens: u32,
}

impl Budget {
    /// A budget with its initial tokens.
    pub fn new(options: Options) -> Self {
        Self { tokens: options.initial.min(options.most), options }
    }

    /// Counts a new request, not its retries.
    pub fn request(&mut self) {
        self.tokens = self.tokens.saturating_add(self.options.per_request).min(self.options.most);
    }

    /// Takes a token for a retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let left = self.tokens.checked_sub(RETRY);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }

    /// Tokens left, in thousandths of a retry.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}
