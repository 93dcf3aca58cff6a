//! Pure placement: which upstream owns which slice, and who witnesses whom.
