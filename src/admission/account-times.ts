/**
 * Times of answers by `service/first token` and `service/whole answer`: counts by the lowest time, in ms, of their
 * histogram bucket. Kept so rather than encoded, they are added, subtracted and merged as counts are.
 */
export type AccountTimes = Readonly<Record<string, Readonly<Record<string, number>>>>
