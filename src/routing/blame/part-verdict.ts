/**
 * How a part is treated.
 * - `clear`: requests with it run.
 * - `suspect`: one request with it runs at a time in the whole fleet, until a run passes or the next server is lost.
 * - `refused`: requests with it are refused.
 */
export type PartVerdict = 'clear' | 'suspect' | 'refused'
