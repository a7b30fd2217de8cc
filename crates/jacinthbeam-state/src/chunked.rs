//! A vector in shared chunks: a clone shares them all, a change copies one.

use std::sync::Arc;

/// Vector in chunks of `N` items.
#[derive(Debug, PartialEq)]
pub(crate) struct Chunked<T, const N: usize> {
    chunks: Vec<Arc<Vec<T>>>,
    len: usize,
}

impl<T, const N: usize> Clone for Chunked<T, N> {
    fn clone(&self) -> Self {
        Self { chunks: self.chunks.clone(), len: self.len }
    }
}

impl<T, const N: usize> Default for Chunked<T, N> {
    fn default() -> Self {
        Self { chunks: Vec::new(), len: 0 }
    }
}

impl<T, const N: usize> Chunked<T, N> {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn get(&self, index: usize) -> Option<&T> {
        self.chunks.get(index / N)?.get(index % N)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> + '_ {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }
}

impl<T: Clone, const N: usize> Chunked<T, N> {
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut T> {
        let chunk = self.chunks.get_mut(index / N)?;
        if index % N >= chunk.len() {
            return None;
        }
        Arc::make_mut(chunk).get_mut(index % N)
    }

    pub(crate) fn push(&mut self, item: T) {
        if self.len.is_multiple_of(N) {
            self.chunks.push(Arc::new(Vec::with_capacity(N)));
        }
        if let Some(chunk) = self.chunks.last_mut() {
            Arc::make_mut(chunk).push(item);
            self.len += 1;
        }
    }
}

impl<T: Clone, const N: usize> FromIterator<T> for Chunked<T, N> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        let mut all = Self::default();
        items.into_iter().for_each(|item| all.push(item));
        all
    }
}
