/**
 * Why a body isn't there.
 * - `too large`: it is longer than allowed.
 * - `no memory`: it was given up for want of memory.
 * - `cut`: its connection closed before its end, or it was dropped.
 */
export type BodyFailure = 'too large' | 'no memory' | 'cut'
